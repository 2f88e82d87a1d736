//! The load that servers report in their responses (design 8.7): the published `endpoint-load-metrics`
//! header of ORCA (Open Request Cost Aggregation), in its text or its JSON form.

/// The response header of a load report.
pub const HEADER: &str = "endpoint-load-metrics";

const MAX_BYTES: usize = 4096;

/// The utilization of a server; 1 is full capacity.
#[derive(Default)]
struct Utilization {
    application: Option<f64>,
    cpu: Option<f64>,
}

/// Parses a load report; returns the utilization in thousandths of the server's capacity. `None` if the
/// report is invalid: reports are advisory, and the server is then treated as one that reports no load.
pub fn parse(text: &str) -> Option<u32> {
    if text.len() > MAX_BYTES {
        return None;
    }
    let (format, report) = text.trim().split_once(' ')?;
    let utilization = match format {
        "TEXT" => parse_text(report)?,
        "JSON" => parse_json(report)?,
        _ => return None,
    };
    // The utilization that the application measures takes precedence over that of the CPU.
    let load = utilization.application.or(utilization.cpu)?;
    (load.is_finite() && (0.0..=100.0).contains(&load)).then(|| (load * 1000.0).round() as u32)
}

fn parse_text(report: &str) -> Option<Utilization> {
    let mut utilization = Utilization::default();
    for pair in report.split(',') {
        let (key, value) = pair.split_once('=')?;
        match key.trim() {
            "application_utilization" => {
                utilization.application = Some(value.trim().parse().ok()?);
            }
            "cpu_utilization" => utilization.cpu = Some(value.trim().parse().ok()?),
            _ => {}
        }
    }
    Some(utilization)
}

fn parse_json(report: &str) -> Option<Utilization> {
    let value = jzon::parse(report).ok()?;
    // A value of another type is read as NaN, which makes the report invalid.
    let number =
        |key: &str| value.as_object()?.get(key).map(|value| value.as_f64().unwrap_or(f64::NAN));
    Some(Utilization {
        application: number("application_utilization"),
        cpu: number("cpu_utilization"),
    })
}

#[cfg(test)]
mod tests;
