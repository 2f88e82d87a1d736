//! vanepath-fleet: the simulator and the demonstration fleet from the command line.

use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_fleet::sim::day::{Deployment, Fault, Plan};

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("simulate") => simulate(&arguments[1..]),
        Some("demo") => demo(&arguments[1..]),
        Some("measure") => measure(),
        Some("replay") => replay(&arguments[1..]),
        Some("scale") => scale(&arguments[1..]),
        Some("starts") => starts(&arguments[1..]),
        Some("--version") => {
            println!("vanepath-fleet {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => {
            println!(
                "Usage: vanepath-fleet COMMAND\n\
                 demo      a whole fleet on loopback addresses, until Ctrl-C\n\
                 replay    the requests of a HAR file against a fleet; --help says more\n\
                 measure   processor time that a proxy adds to a request, against going direct\n\
                 scale     what the cores cost at several sizes up to the design's; --help says more\n\
                 simulate  days of a fleet with faults, in simulated time; --help says more\n\
                 starts    time from the start of a daemon until it takes work, in simulated time; \
                 --help says more"
            );
            Ok(())
        }
    }
}

/// A fleet of processes on this machine, with stand-in servers, callers and platform.
fn demo(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optopt("", "deployment", "raiocerto (default) or guild", "NAME");
    options.optopt("", "seconds", "end by itself after so long", "N");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: vanepath-fleet demo [options]"));
        return Ok(());
    }
    let shape = match matches.opt_str("deployment").as_deref() {
        None | Some("raiocerto") => vanepath_fleet::shape::raiocerto(),
        Some("guild") => vanepath_fleet::shape::guild(),
        Some(other) => miette::bail!("--deployment: there is no '{other}'"),
    };
    let seconds: u64 =
        matches.opt_str("seconds").and_then(|text| text.parse().ok()).unwrap_or(u64::MAX >> 1);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    runtime.block_on(async {
        let fleet = vanepath_fleet::harness::Fleet::start(shape).await;
        let revision = fleet.put_setup(&fleet.shape.setup).await;
        fleet.until_in_force(revision, Duration::from_secs(20)).await;
        let traffic = vanepath_fleet::traffic::Traffic::start(&fleet, 1, 0.1).await;
        let registry = fleet.registries()[0];
        let proxy = fleet.members[fleet.of("proxy")[0]].address;
        let setup = fleet.folder.join("setup.json");
        std::fs::write(&setup, &fleet.shape.setup)
            .map_err(|error| miette::miette!("cannot write {}: {error}", setup.display()))?;
        println!("a fleet in the shape of {} is up, with a tenth of its traffic", fleet.shape.name);
        for member in &fleet.members {
            println!("  {:12} {:10} {}", member.name, member.zone, member.address);
        }
        println!("logs, settings and the setup lie in {}\n", fleet.folder.display());
        println!("Try, from another terminal:");
        println!("  curl '{registry}/v1/steer?caller=me&zone=north-1&why=1'");
        println!("  curl -i '{proxy}{}/7' -H 'x-request: 7'", fleet.shape.lookup_path);
        println!("  curl {registry}/v1/status");
        println!("  curl {proxy}/vanepath/v1/status");
        println!("  curl -X PUT {registry}/v1/zones/north-1/emptied");
        println!("  curl -X DELETE {registry}/v1/zones/north-1/emptied");
        println!("  curl -T {} {registry}/v1/setup", setup.display());
        println!("  target/debug/vanepath-checker --registry {registry} {}", setup.display());
        println!("\nCtrl-C ends it.");
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            () = tokio::time::sleep(Duration::from_secs(seconds)) => {}
        }
        let (told, wrong) = traffic.finish().await;
        println!("{} requests, {} of them wrong", told.len(), wrong.len());
        for (kind, sum) in vanepath_fleet::traffic::sums(&told) {
            println!("  {kind:?}: {sum:?}");
        }
        Ok(())
    })
}

/// The requests of a recorded file against a fleet that runs.
fn replay(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optmulti("", "registry", "a directory to ask; again for further ones", "IP:PORT");
    options.optopt("", "zone", "the zone that the requests come from", "NAME");
    options.optopt("", "region", "its region", "NAME");
    options.optopt("", "factor", "so many times faster than recorded (default 1)", "F");
    options.optflag("", "filings", "replay what runs at most once too: it is filed again");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: vanepath-fleet replay [options] FILE.har"));
        return Ok(());
    }
    let [file] = &matches.free[..] else {
        miette::bail!("one HAR file is wanted, not {}; see --help", matches.free.len());
    };
    let registries: Vec<std::net::SocketAddr> = matches
        .opt_strs("registry")
        .iter()
        .map(|text| text.parse().map_err(|_| miette::miette!("--registry: '{text}' is no IP:PORT")))
        .collect::<miette::Result<_>>()?;
    if registries.is_empty() {
        miette::bail!("--registry: at least one is needed");
    }
    let factor = match matches.opt_str("factor") {
        None => 1.0,
        Some(text) => text
            .parse()
            .ok()
            .filter(|factor: &f64| factor.is_finite() && *factor > 0.0)
            .ok_or_else(|| miette::miette!("--factor: '{text}' is no number above zero"))?,
    };
    let bytes =
        std::fs::read(file).map_err(|error| miette::miette!("cannot read {file}: {error}"))?;
    let recorded = vanepath_fleet::replay::read(&bytes)?;
    let plan = vanepath_fleet::replay::Plan {
        registries,
        zone: matches.opt_str("zone").unwrap_or_default(),
        region: matches.opt_str("region").unwrap_or_default(),
        factor,
        filings: matches.opt_present("filings"),
    };
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    let summary = runtime.block_on(vanepath_fleet::replay::replay(&plan, recorded));
    for (verdict, count) in &summary.verdicts {
        println!("{count} {verdict}");
    }
    for (status, count) in &summary.statuses {
        println!("{count} with status {status}");
    }
    if summary.filings_left_out > 0 {
        println!("{} filings left out (--filings replays them)", summary.filings_left_out);
    }
    if let (Some(median), Some(worst)) =
        (summary.took_ms.get(summary.took_ms.len() / 2), summary.took_ms.last())
    {
        println!("median {median} ms, longest {worst} ms");
    }
    Ok(())
}

/// Processor time of a process so far, in clock ticks of a hundredth of a second.
fn ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // After the name, which may hold anything: user time is the 12th field, system time the 13th.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> =
        rest.split_whitespace().skip(1).map(|field| field.parse().unwrap_or(0)).collect();
    fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
}

/// The same lookups direct to a server and through a proxy, in turns, in one run.
fn measure() -> miette::Result<()> {
    const ROUNDS: usize = 3;
    const LANES: usize = 32;
    const REQUESTS: usize = 2400;
    // About 800 requests a second: connections rest between two requests, as they do in a fleet.
    const PAUSE: Duration = Duration::from_millis(40);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    runtime.block_on(async {
        let mut shape = vanepath_fleet::shape::raiocerto();
        shape.proxies = 1;
        shape.servers = vec![("ordering", 1)];
        shape.setup = shape.setup.replace("app = documents", "app = ordering");
        let fleet = vanepath_fleet::harness::Fleet::start(shape).await;
        let revision = fleet.put_setup(&fleet.shape.setup).await;
        fleet.until_in_force(revision, Duration::from_secs(20)).await;
        let proxy = fleet.of("proxy")[0];
        let proxy_address = fleet.members[proxy].address;
        let proxy_pid = fleet.members[proxy].pid().unwrap_or(0);
        let own = std::process::id();
        let mut ratios = Vec::new();
        for kind in ["GET", "POST"] {
            let path = if kind == "GET" { "/stock/1" } else { "/orders" };
            for round in 0..ROUNDS {
                let mut spent = [0_u64; 2];
                let mut in_proxy = 0;
                for (index, address) in
                    [fleet.servers[0].address, proxy_address].into_iter().enumerate()
                {
                    let before = (ticks(own), ticks(proxy_pid));
                    let mut tasks = tokio::task::JoinSet::new();
                    for lane in 0..LANES {
                        tasks.spawn(vanepath_fleet::http::many(
                            address,
                            kind,
                            path,
                            format!("{kind}-{round}-{index}-{lane}"),
                            REQUESTS / LANES,
                            PAUSE,
                        ));
                    }
                    let mut served = 0;
                    while let Some(done) = tasks.join_next().await {
                        served += done.unwrap_or(0);
                    }
                    if served != REQUESTS {
                        miette::bail!("{served} of {REQUESTS} requests were served");
                    }
                    let after = (ticks(own), ticks(proxy_pid));
                    spent[index] = after.0 - before.0 + after.1 - before.1;
                    in_proxy = after.1 - before.1;
                }
                let ratio = spent[1] as f64 / spent[0].max(1) as f64;
                ratios.push(ratio);
                let metrics = fleet.page(proxy, "metrics").await;
                let opened = metrics["connectionsOpened"].as_u64().unwrap_or(0);
                let reused = metrics["connectionsReused"].as_u64().unwrap_or(0);
                println!("connections so far: {opened} opened, {reused} used again");
                println!(
                    "{kind}: direct {} ticks, by the proxy {} (in it {in_proxy}): {ratio:.2} times",
                    spent[0], spent[1]
                );
            }
        }
        ratios.sort_by(f64::total_cmp);
        println!("median {:.2} times the processor time of going direct", ratios[ratios.len() / 2]);
        Ok(())
    })
}

/// The cores at several sizes, on one thread (docs/CAPACITY.md).
fn scale(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optopt("", "daemons", "sizes of the fleet (default 14,84,250,670)", "N,N…");
    options.optopt("", "only", "memory, news, setups, proxies, registries or stores", "PART");
    options.optopt("", "seconds", "simulated seconds of quiet news (default 2)", "N");
    options.optopt("", "limit-seconds", "real time for each size of the news (default 60)", "N");
    options.optopt("", "span-ms", "real time for each figure of a core (default 100)", "N");
    options.optflag("", "joins", "all hollow daemons start at once and know the seeds alone");
    options.optflag("", "no-details", "proxies tell registries nothing of their servers");
    options.optflag("", "by-probes", "services as of old: judged by probes, no slots told");
    options.optflag("", "json", "JSON only");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: vanepath-fleet scale [options]"));
        println!(
            "Servers, services and routes go with the daemons: 670 have 4,500, 270 and 1,100."
        );
        return Ok(());
    }
    let whole = |name: &str, default: u64| match matches.opt_str(name) {
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
    let seconds = whole("seconds", 2)?;
    let limit = Duration::from_secs(whole("limit-seconds", 60)?);
    let span = Duration::from_millis(whole("span-ms", 100)?);
    let only = matches.opt_str("only");
    let parts = ["memory", "news", "setups", "proxies", "registries", "stores"];
    if let Some(part) = only.as_deref().filter(|part| !parts.contains(part)) {
        miette::bail!("--only: there is no '{part}'; see --help");
    }
    let judged = match matches.opt_present("by-probes") {
        true => vanepath_fleet::scale::Judged::ByProbes,
        false => vanepath_fleet::scale::Judged::ByTraffic,
    };
    let is_json = matches.opt_present("json");
    let mut all = Vec::new();
    let mut show = |rows: Vec<vanepath_fleet::scale::Row>| {
        for row in rows {
            if !is_json {
                println!("{row}");
            }
            all.push(row.as_json());
        }
    };
    for part in parts.into_iter().filter(|part| only.as_deref().is_none_or(|only| only == *part)) {
        match part {
            "memory" => show(vanepath_fleet::scale::cores::memory(judged)),
            "setups" => show(vanepath_fleet::scale::cores::setups(span, judged)),
            "proxies" => show(vanepath_fleet::scale::cores::proxies(span, judged)),
            "registries" => show(vanepath_fleet::scale::cores::registries(span, judged)),
            "stores" => show(vanepath_fleet::scale::cores::stores(span, judged)),
            _ => {
                for daemons in &sizes {
                    use vanepath_fleet::scale;
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
                    show(scale::hollow::run(&plan));
                }
            }
        }
    }
    if is_json {
        println!("{}", jzon::JsonValue::Array(all).pretty(2));
    }
    Ok(())
}

/// How long daemons take from their start until they take work (design 5.8).
fn starts(arguments: &[String]) -> miette::Result<()> {
    use vanepath_fleet::sim::{breaks::Break, starts};
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optopt("", "seeds", "first and last seed, as in 1-8 (default)", "A-B");
    options.optopt("", "stores", "core machines (default 3)", "N");
    options.optflag("", "without-floor", "daemons go by whatever they are told first");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: vanepath-fleet starts [options]"));
        return Ok(());
    }
    let seeds = matches.opt_str("seeds").unwrap_or("1-8".to_string());
    let (first, last) = seeds
        .split_once('-')
        .and_then(|(first, last)| Some((first.parse::<u64>().ok()?, last.parse::<u64>().ok()?)))
        .ok_or_else(|| miette::miette!("--seeds: two numbers, as in 1-8"))?;
    let stores = matches.opt_str("stores").and_then(|text| text.parse().ok()).unwrap_or(3);
    let breaks = matches.opt_present("without-floor").then_some(Break::NoFloor);
    let mut work = Vec::new();
    for deployment in [Deployment::Raiocerto, Deployment::Guild] {
        for scene in starts::Scene::iter() {
            work.extend((first..=last).map(|seed| (deployment, scene, seed)));
        }
    }
    type Rows = std::collections::BTreeMap<(String, starts::Scene, String), Vec<Option<Duration>>>;
    let rows = std::sync::Mutex::new(Rows::new());
    let threads = vanepath_fleet::sim::cores().min(3);
    vanepath_fleet::sim::on_threads(threads, work.len(), |index| {
        let (deployment, scene, seed) = work[index];
        let plan = Plan { breaks, stores, ..Plan::new(deployment, &[]) };
        let all = starts::measure(seed, scene, &plan);
        let mut rows = rows.lock().expect("no panic under this lock");
        for start in all {
            let key = (format!("{deployment:?}"), scene, start.role.to_string());
            rows.entry(key).or_default().push(start.took);
        }
    });
    println!(
        "deployment  scene         role      starts   median ms  9 of 10 ms   worst ms   never"
    );
    for ((deployment, scene, role), all) in rows.into_inner().expect("no panic under this lock") {
        let mut took: Vec<Duration> = all.iter().flatten().copied().collect();
        took.sort_unstable();
        let at = |part: usize| match took.len() {
            0 => "-".to_string(),
            count => took[(count - 1) * part / 100].as_millis().to_string(),
        };
        println!(
            "{deployment:11} {:13} {role:9} {:6} {:>11} {:>11} {:>10} {:7}",
            scene.to_string(),
            all.len(),
            at(50),
            at(90),
            at(100),
            all.len() - took.len()
        );
    }
    Ok(())
}

/// Runs days over a range of seeds and prints what the judges found.
fn simulate(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optopt("", "seeds", "first and last seed, as in 1-100 (default 1-20)", "A-B");
    options.optopt(
        "",
        "fault",
        "one kind of fault, 'each' in turn (default), 'mixed' or 'overlap'",
        "KIND",
    );
    options.optopt("", "deployment", "raiocerto, guild or both (default)", "NAME");
    options.optopt("", "rate", "part of the deployment's traffic (default 1)", "PART");
    options.optopt("", "operator-ms", "an operator does something about so often (900)", "N");
    options.optopt("", "threads", "seeds run at one time (default: all cores)", "N");
    options.optflag("", "trace", "print the history of each day that a judge finds fault with");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if matches.opt_present("help") {
        let kinds: Vec<String> = Fault::iter().map(|fault| fault.to_string()).collect();
        println!("{}", options.usage("Usage: vanepath-fleet simulate [options]"));
        println!("Kinds of fault: {}", kinds.join(", "));
        return Ok(());
    }
    let seeds = matches.opt_str("seeds").unwrap_or("1-20".to_string());
    let (first, last) = seeds
        .split_once('-')
        .and_then(|(first, last)| Some((first.parse::<u64>().ok()?, last.parse::<u64>().ok()?)))
        .ok_or_else(|| miette::miette!("--seeds: two numbers, as in 1-100"))?;
    let kind = matches.opt_str("fault").unwrap_or("each".to_string());
    let faults: Vec<Fault> = Fault::iter().collect();
    let chosen: Vec<Fault> = match kind.as_str() {
        "each" | "mixed" | "overlap" => faults.clone(),
        // Several, one after the other on one day.
        names => names
            .split('+')
            .map(|name| {
                let found = faults.iter().copied().find(|fault| fault.to_string() == name);
                found.ok_or_else(|| miette::miette!("--fault: there is no '{name}'; see --help"))
            })
            .collect::<miette::Result<Vec<Fault>>>()?,
    };
    let deployments = match matches.opt_str("deployment").as_deref() {
        None | Some("both") => vec![Deployment::Raiocerto, Deployment::Guild],
        Some("raiocerto") => vec![Deployment::Raiocerto],
        Some("guild") => vec![Deployment::Guild],
        Some(other) => miette::bail!("--deployment: there is no '{other}'"),
    };
    let rate: f64 = matches.opt_str("rate").and_then(|text| text.parse().ok()).unwrap_or(1.0);
    let traces = matches.opt_present("trace");
    let operator_ms: u64 =
        matches.opt_str("operator-ms").and_then(|text| text.parse().ok()).unwrap_or(900);
    let operator_every = Duration::from_millis(operator_ms);
    let threads = matches
        .opt_str("threads")
        .and_then(|text| text.parse().ok())
        .unwrap_or(vanepath_fleet::sim::cores());

    let mut work: Vec<(u64, Deployment, Vec<Fault>)> = Vec::new();
    for seed in first..=last {
        for deployment in &deployments {
            if kind == "overlap" {
                work.push((seed, *deployment, vanepath_fleet::sim::day::overlapping(seed)));
            } else if kind == "mixed" {
                let mut random = vanepath_fleet::sim::Random::new(seed ^ 0x6d69_7865);
                let count = 2 + random.below(3);
                let mix = (0..count).map(|_| faults[random.below(faults.len())]).collect();
                work.push((seed, *deployment, mix));
            } else if kind.contains('+') {
                work.push((seed, *deployment, chosen.clone()));
            } else {
                work.extend(chosen.iter().map(|fault| (seed, *deployment, vec![*fault])));
            }
        }
    }
    let sums = std::sync::Mutex::new(std::collections::BTreeMap::<String, Sum>::new());
    vanepath_fleet::sim::on_threads(threads, work.len(), |index| {
        let (seed, deployment, faults) = &work[index];
        let overlap = kind == "overlap";
        let plan = Plan { rate, traces, operator_every, overlap, ..Plan::new(*deployment, faults) };
        one(*seed, &plan, ["mixed", "overlap"].contains(&kind.as_str()), &sums);
    });
    let mut sums = sums.into_inner().expect("no panic under this lock");
    println!(
        "{:28} {:>5} {:>6} {:>8} {:>6} {:>8} {:>6} {:>7} {:>8} {:>8} {:>8}",
        "faults",
        "days",
        "faulty",
        "lookups",
        "lost",
        "filings",
        "maybe",
        "retries",
        "setup s",
        "drain s",
        "resume s"
    );
    let mut faulty = 0;
    for (name, sum) in &sums {
        faulty += sum.faulty;
        println!(
            "{name:28} {:5} {:6} {:8} {:6} {:8} {:6} {:7.4} {:8.2} {:8.2} {:8.2}",
            sum.days,
            sum.faulty,
            sum.lookups,
            sum.lookups_lost,
            sum.filings,
            sum.may_have_run,
            sum.retries / sum.days as f64,
            sum.worst_setup.as_secs_f64(),
            sum.worst_drain.as_secs_f64(),
            sum.worst_resume.as_secs_f64()
        );
    }
    for (name, sum) in &mut sums {
        let days = sum.days as f64;
        sum.setups.sort_unstable();
        let median = sum.setups.get(sum.setups.len() / 2).copied().unwrap_or_default();
        println!(
            "{name:28} siblings {:.1} kB/s, {:.1} kB/s to other zones; {:.0} probes/s; \
             {:.1} saves for each change; setups in force after {:.3} s (median); {:.1} % of goes \
             to other zones; callers' further tries {:.4}, repeats in 10 s a fifth and {:.0} at most; \
             cold servers {:.1} times their rate at most; {:.2} changes of place for each caller; \
             server under {:.1} times its work at most",
            sum.sibling_bytes / days / 1000.0,
            sum.sibling_bytes_other_zone / days / 1000.0,
            sum.probes / days,
            sum.saves / days,
            median.as_secs_f64(),
            100.0 * sum.other_zone / days,
            sum.doors / days,
            sum.worst_repeats,
            sum.worst_cold,
            sum.switches / days,
            sum.worst_load
        );
    }
    if faulty > 0 {
        miette::bail!("{faulty} days with faults");
    }
    Ok(())
}

#[derive(Default)]
struct Sum {
    days: usize,
    faulty: usize,
    lookups: usize,
    lookups_lost: usize,
    filings: usize,
    may_have_run: usize,
    retries: f64,
    worst_setup: Duration,
    worst_drain: Duration,
    worst_resume: Duration,
    sibling_bytes: f64,
    sibling_bytes_other_zone: f64,
    probes: f64,
    saves: f64,
    setups: Vec<Duration>,
    other_zone: f64,
    doors: f64,
    worst_repeats: f64,
    worst_cold: f64,
    switches: f64,
    worst_load: f64,
}

fn one(
    seed: u64,
    plan: &Plan,
    is_mixed: bool,
    sums: &std::sync::Mutex<std::collections::BTreeMap<String, Sum>>,
) {
    let (deployment, faults, traces) = (plan.deployment, &plan.faults, plan.traces);
    let run = vanepath_fleet::sim::day::run(seed, plan);
    let judgement = vanepath_fleet::sim::judge::judge(&run);
    let names: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
    let name = match (is_mixed, plan.overlap) {
        (true, true) => "overlap".to_string(),
        (true, false) => "mixed".to_string(),
        _ => names.join("+"),
    };
    let mut sums = sums.lock().expect("no panic under this lock");
    let sum = sums.entry(name).or_default();
    sum.days += 1;
    sum.lookups += judgement.lookups;
    sum.lookups_lost += judgement.lookups_lost;
    sum.filings += judgement.filings;
    sum.may_have_run += judgement.filings_may_have_run;
    sum.retries += judgement.further_goes_part;
    sum.sibling_bytes += judgement.sibling_bytes;
    sum.sibling_bytes_other_zone += judgement.sibling_bytes_other_zone;
    sum.probes += judgement.probes;
    sum.doors += judgement.doors_part;
    sum.switches += judgement.switches;
    sum.worst_load = sum.worst_load.max(judgement.worst_load);
    sum.worst_repeats = sum.worst_repeats.max(judgement.worst_repeats);
    sum.worst_cold = sum.worst_cold.max(judgement.worst_cold);
    sum.saves += judgement.saves_per_change;
    sum.setups.extend(&judgement.setups);
    sum.other_zone += run.sim.world.goes_other_zone as f64 / run.sim.world.goes.max(1) as f64;
    sum.worst_setup = sum.worst_setup.max(judgement.worst_setup);
    sum.worst_drain = sum.worst_drain.max(judgement.worst_drain);
    sum.worst_resume = sum.worst_resume.max(judgement.resumed_after.unwrap_or_default());
    if !judgement.faults.is_empty() {
        sum.faulty += 1;
        println!("seed {seed} {deployment:?} {}", names.join("+"));
        for fault in judgement.faults.iter().take(6) {
            println!("    {fault}");
        }
        if traces {
            for line in &run.sim.trace {
                println!("        {line}");
            }
        }
    }
}
