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
mod tests {
    #[test]
    fn good_forms_are_read_and_bad_ones_ignored() {
        for (text, wanted) in [
            ("TEXT cpu_utilization=0.3,mem_utilization=0.8", Some(300)),
            ("TEXT cpu_utilization=0.3, application_utilization=1.25", Some(1250)),
            ("JSON {\"cpu_utilization\": 0.5}", Some(500)),
            ("JSON {\"application_utilization\": \"x\", \"cpu_utilization\": 0.5}", None),
            ("TEXT cpu_utilization=nan", None),
            ("TEXT cpu_utilization=-1", None),
            ("TEXT cpu_utilization=inf", None),
            ("TEXT cpu_utilization", None),
            ("TEXT mem_utilization=0.8", None),
            ("BIN abcd", None),
            ("", None),
        ] {
            assert_eq!(super::parse(text), wanted, "{text}");
        }
    }
}
