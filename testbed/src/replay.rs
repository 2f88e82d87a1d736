//! Replays the requests of a recorded HAR file against a fleet, by the caller library, and sums up what
//! became of them (design 10.6). The file is read by the `har` crate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_client::{Client, Outcome};

/// One recorded request, ready to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// After the first of the file.
    pub at: Duration,
    pub method: String,
    pub host: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: bytes::Bytes,
}

pub struct ReplayPlan {
    pub registries: Vec<SocketAddr>,
    pub zone: String,
    pub region: String,
    /// How many times faster than recorded.
    pub speed_factor: f64,
    /// Whether what runs at most once is replayed as well: it would be filed again.
    pub replays_filings: bool,
}

#[derive(Debug, Default, PartialEq)]
pub struct Summary {
    pub by_execution_status: BTreeMap<String, usize>,
    pub by_http_status: BTreeMap<u16, usize>,
    pub took_ms: Vec<u64>,
    pub skipped_filings: usize,
}

/// Not passed on: they belong to the recorded connection, or are told anew.
const OWN: [&str; 9] = [
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "keep-alive",
    "proxy-connection",
];

/// The requests of a file, in the order of their times; every entry that cannot be sent is named.
pub fn read(bytes: &[u8]) -> miette::Result<Vec<RecordedRequest>> {
    let har = har::from_slice(bytes).map_err(|error| {
        let cause = std::error::Error::source(&error).map(|cause| format!(": {cause}"));
        miette::miette!("this is no HAR file: {error}{}", cause.unwrap_or_default())
    })?;
    // Both versions of the format have the same members here.
    macro_rules! entries {
        ($log:expr) => {
            $log.entries
                .iter()
                .map(|entry| {
                    let request = &entry.request;
                    let headers = request.headers.iter();
                    let headers = headers.map(|one| (one.name.clone(), one.value.clone()));
                    let body = request.post_data.as_ref().and_then(|data| data.text.clone());
                    let (method, url) = (request.method.clone(), request.url.clone());
                    (entry.started_date_time.clone(), method, url, headers.collect(), body)
                })
                .collect()
        };
    }
    type Entry = (String, String, String, Vec<(String, String)>, Option<String>);
    let entries: Vec<Entry> = match &har.log {
        har::Spec::V1_2(log) => entries!(log),
        har::Spec::V1_3(log) => entries!(log),
    };
    let mut all = Vec::new();
    let mut faults = Vec::new();
    for (index, (time, method, url, headers, body)) in entries.into_iter().enumerate() {
        match recorded(&time, &method, &url, headers, body) {
            Ok(one) => all.push(one),
            Err(fault) => faults.push(format!("$.log.entries[{index}]: {fault}")),
        }
    }
    if !faults.is_empty() {
        miette::bail!("these entries cannot be sent:\n{}", faults.join("\n"));
    }
    all.sort_by_key(|(at, _)| *at);
    let first = all.first().map_or(0, |(at, _)| *at);
    let since = |at: i64| Duration::from_millis(at.saturating_sub(first) as u64);
    Ok(all.into_iter().map(|(at, one)| RecordedRequest { at: since(at), ..one }).collect())
}

fn recorded(
    time: &str,
    method: &str,
    url: &str,
    headers: Vec<(String, String)>,
    body: Option<String>,
) -> Result<(i64, RecordedRequest), String> {
    let at: jiff::Timestamp =
        time.parse().map_err(|_| format!("startedDateTime '{time}' is no time"))?;
    hyper::Method::from_bytes(method.as_bytes())
        .map_err(|_| format!("method '{method}' is none"))?;
    let uri: hyper::Uri = url.parse().map_err(|_| format!("url '{url}' is none"))?;
    if uri.scheme_str().is_none_or(|scheme| !["http", "https"].contains(&scheme)) {
        return Err(format!("url '{url}' is neither http nor https"));
    }
    let host = uri.host().unwrap_or_default().to_string();
    let target = uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
    let is_own =
        |name: &str| name.starts_with(':') || OWN.iter().any(|own| own.eq_ignore_ascii_case(name));
    let headers: Vec<(String, String)> =
        headers.into_iter().filter(|(name, _)| !is_own(name)).collect();
    for (name, value) in &headers {
        let is_good = hyper::header::HeaderName::from_bytes(name.as_bytes()).is_ok()
            && hyper::header::HeaderValue::from_str(value).is_ok();
        if !is_good {
            return Err(format!("header '{name}' cannot be sent"));
        }
    }
    let body = body.unwrap_or_default().into();
    let (method, at) = (method.to_string(), at.as_millisecond());
    Ok((at, RecordedRequest { at: Duration::ZERO, method, host, target, headers, body }))
}

/// Sends them at their pace, one caller for each host, and waits for all.
pub async fn replay(plan: &ReplayPlan, recorded: Vec<RecordedRequest>) -> Summary {
    let mut callers: BTreeMap<String, (Arc<Client>, tokio::task::JoinHandle<()>)> = BTreeMap::new();
    for one in &recorded {
        if !callers.contains_key(&one.host) {
            let (zone, region) = (&plan.zone, &plan.region);
            let query = format!("caller=replay-{}&zone={zone}&region={region}", callers.len());
            let caller = Client::new(plan.registries.clone(), &query, 0, &one.host);
            caller.poll().await;
            let polling = caller.keep_polling();
            callers.insert(one.host.clone(), (caller, polling));
        }
    }
    let mut summary = Summary::default();
    let begun = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for one in recorded {
        let caller = callers[&one.host].0.clone();
        tokio::time::sleep_until(begun + one.at.div_f64(plan.speed_factor)).await;
        let is_once = {
            let steering = caller.steering();
            // Without a receipt nobody can say: what is no lookup by its method is left out.
            let is_lookup = ["GET", "HEAD", "OPTIONS"].contains(&one.method.as_str());
            match steering.response() {
                Some(_) => steering.is_at_most_once(&one.method, &one.host, &one.target),
                None => !is_lookup,
            }
        };
        if is_once && !plan.replays_filings {
            summary.skipped_filings += 1;
            continue;
        }
        tasks.spawn(async move {
            let start = std::time::Instant::now();
            let headers: Vec<(&str, &str)> =
                one.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
            let outcome = caller.request(&one.method, &one.target, &headers, one.body).await;
            (outcome, start.elapsed().as_millis() as u64)
        });
    }
    while let Some(Ok((outcome, took_ms))) = tasks.join_next().await {
        *summary.by_execution_status.entry(outcome.execution_status().to_string()).or_default() +=
            1;
        if let Outcome::Response { status, .. } = outcome {
            *summary.by_http_status.entry(status).or_default() += 1;
        }
        summary.took_ms.push(took_ms);
    }
    summary.took_ms.sort_unstable();
    for (_, polling) in callers.into_values() {
        polling.abort();
    }
    summary
}

#[cfg(test)]
mod tests;
