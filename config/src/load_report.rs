//! The demand that servers tell in their receipts (design 8.7): the published
//! `endpoint-load-metrics` header, in its text or its JSON form.

pub const HEADER: &str = "endpoint-load-metrics";

/// Thousandths of the server's capacity in use; `None` where the value cannot be trusted.
pub fn parse(text: &str) -> Option<u32> {
    if text.len() > 4096 {
        return None;
    }
    let (format, rest) = text.trim().split_once(' ')?;
    let mut application = None;
    let mut cpu = None;
    match format {
        "TEXT" => {
            for pair in rest.split(',') {
                let (key, value) = pair.split_once('=')?;
                match key.trim() {
                    "application_utilization" => application = Some(value.trim().parse().ok()?),
                    "cpu_utilization" => cpu = Some(value.trim().parse().ok()?),
                    _ => {}
                }
            }
        }
        "JSON" => {
            let value = jzon::parse(rest).ok()?;
            let read = |key: &str| {
                value.as_object()?.get(key).map(|value| value.as_f64().unwrap_or(f64::NAN))
            };
            application = read("application_utilization");
            cpu = read("cpu_utilization");
        }
        _ => return None,
    }
    let demand: f64 = application.or(cpu)?;
    (demand.is_finite() && (0.0..=100.0).contains(&demand))
        .then(|| (demand * 1000.0).round() as u32)
}

#[cfg(test)]
mod tests;
