//! The command `scale`: measures the cost of the daemons' core logic at several sizes of the fleet.

use super::parse_options;
use std::time::Duration;

/// Measures the core logic at several sizes of the fleet, on one thread (docs/CAPACITY.md).
///
/// # Errors
/// If the arguments are invalid.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optopt("", "daemons", "sizes of the fleet (default 14,84,250,670)", "N,N…");
    options.optopt("", "only", "memory, news, setups, proxies, registries or stores", "PART");
    options.optopt("", "seconds", "simulated seconds of quiet news (default 2)", "N");
    options.optopt("", "limit-seconds", "real time for each size of the news (default 60)", "N");
    options.optopt("", "span-ms", "real time for each figure of a core (default 100)", "N");
    options.optflag("", "joins", "all hollow daemons start at once and know the seeds alone");
    options.optflag("", "no-details", "proxies tell registries nothing of their servers");
    options.optflag("", "by-probes", "services as of old: judged by probes, no slots told");
    options.optflag("", "json", "JSON only");
    let additional_help =
        "Servers, services and routes go with the daemons: 670 have 4,500, 270 and 1,100.";
    let Some(matches) =
        parse_options(options, arguments, "vanepath-testbed scale [options]", additional_help)?
    else {
        return Ok(());
    };
    let parse_number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => {
            text.parse::<u64>().ok().filter(|number| (1..=10_000).contains(number)).ok_or_else(
                || miette::miette!("--{name}: '{text}' is no whole number from 1 to 10000"),
            )
        }
    };
    let sizes = matches.opt_str("daemons").unwrap_or("14,84,250,670".to_string());
    let sizes: Vec<usize> = sizes
        .split(',')
        .map(|text| text.parse().ok().filter(|size| (6..=1400).contains(size)))
        .collect::<Option<_>>()
        .ok_or_else(|| miette::miette!("--daemons: numbers from 6 to 1400, as in 14,84"))?;
    let seconds = parse_number("seconds", 2)?;
    let limit = Duration::from_secs(parse_number("limit-seconds", 60)?);
    let span = Duration::from_millis(parse_number("span-ms", 100)?);
    let only = matches.opt_str("only");
    let parts = ["memory", "news", "setups", "proxies", "registries", "stores"];
    if let Some(part) = only.as_deref().filter(|part| !parts.contains(part)) {
        miette::bail!("--only: there is no '{part}'; see --help");
    }
    let judged = match matches.opt_present("by-probes") {
        true => vanepath_testbed::scale::Judged::ByProbes,
        false => vanepath_testbed::scale::Judged::ByTraffic,
    };
    let is_json = matches.opt_present("json");
    let mut all_rows = Vec::new();
    let mut add_rows = |rows: Vec<vanepath_testbed::scale::Row>| {
        for row in rows {
            if !is_json {
                println!("{row}");
            }
            all_rows.push(row.as_json());
        }
    };
    for part in parts.into_iter().filter(|part| only.as_deref().is_none_or(|only| only == *part)) {
        match part {
            "memory" => add_rows(vanepath_testbed::scale::cores::memory(judged)),
            "setups" => add_rows(vanepath_testbed::scale::cores::setups(span, judged)),
            "proxies" => add_rows(vanepath_testbed::scale::cores::proxies(span, judged)),
            "registries" => add_rows(vanepath_testbed::scale::cores::registries(span, judged)),
            "stores" => add_rows(vanepath_testbed::scale::cores::stores(span, judged)),
            _ => {
                for daemons in &sizes {
                    use vanepath_testbed::scale;
                    let plan = scale::hollow::Plan {
                        daemons: *daemons,
                        servers: scale::in_proportion(scale::SERVERS, *daemons).max(34),
                        services: scale::in_proportion(scale::SERVICES, *daemons),
                        routes: scale::in_proportion(scale::ROUTES, *daemons).max(2),
                        judged,
                        joins: matches.opt_present("joins"),
                        details: !matches.opt_present("no-details"),
                        settle: Duration::from_secs(3),
                        measure: Duration::from_secs(seconds),
                        limit,
                    };
                    add_rows(scale::hollow::run(&plan));
                }
            }
        }
    }
    if is_json {
        println!("{}", jzon::JsonValue::Array(all_rows).pretty(2));
    }
    Ok(())
}
