//! vanepath-config-check: validates a configuration, optionally checks it against the present state of the
//! fleet, and finds daemons that went back to an older revision.

mod output;
mod status_client;

use std::net::SocketAddr;
use std::process::ExitCode;
use vanepath_config_check::revision_regressions::{
    DaemonRevision, ListedDaemons, RevisionState, compare,
};
use vanepath_config_check::{FleetSnapshot, Severity, check};

/// The result of a check that was completed, with its exit code; [`COULD_NOT_CHECK`] is the exit code of one
/// that could not be.
#[derive(Clone, Copy)]
enum Conclusion {
    Good = 0,
    Findings = 1,
    InvalidConfig = 3,
}

/// Exit code if an error prevented the check.
const COULD_NOT_CHECK: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(conclusion) => ExitCode::from(conclusion as u8),
        Err(report) => {
            eprintln!("Error: {report:?}");
            ExitCode::from(COULD_NOT_CHECK)
        }
    }
}

fn run() -> miette::Result<Conclusion> {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches =
        options.parse(&arguments).map_err(|error| miette::miette!("{error}; see --help"))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(Conclusion::Good);
    }
    if matches.opt_present("version") {
        println!("vanepath-config-check {}", env!("CARGO_PKG_VERSION"));
        return Ok(Conclusion::Good);
    }
    let registries = matches.opt_strs("floors");
    if !registries.is_empty() {
        return check_revisions(&registries, matches.opt_present("json"));
    }
    let [file] = &matches.free[..] else {
        miette::bail!("one setup file is needed; see --help");
    };
    check_config(file, &matches)
}

const USAGE: &str = "Usage: vanepath-config-check [options] SETUP-FILE\n\
     Checks a setup as the interface would and, with --registry, against the \
     fleet as it is.\n\
     vanepath-config-check --floors IP:PORT [--floors IP:PORT]: asks every daemon that \
     these registries list whether it goes by less than it ever did.\n\
     Exit codes: 0 good, 1 findings, 2 could not check, 3 invalid setup.";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optflag("V", "version", "show the version and end");
    options.optopt("r", "registry", "check against the fleet of this registry", "IP:PORT");
    options.optflag("j", "json", "print JSON");
    options.optflag("s", "strict", "warnings count as findings too");
    options.optmulti("f", "floors", "ask this registry's fleet who is behind its floor", "IP:PORT");
    options
}

/// Validates a configuration file and, if a registry was given, checks it against the fleet.
fn check_config(file: &str, matches: &getopts::Matches) -> miette::Result<Conclusion> {
    let as_json = matches.opt_present("json");
    let bytes =
        std::fs::read(file).map_err(|error| miette::miette!("cannot read {file}: {error}"))?;
    let config = match vanepath_config::model::parse(&bytes) {
        Ok(config) => config,
        Err(errors) => {
            output::print_validation_errors(file, &errors, as_json);
            return Ok(Conclusion::InvalidConfig);
        }
    };
    let Some(registry) = matches.opt_str("registry") else {
        output::print_valid(file, as_json);
        return Ok(Conclusion::Good);
    };
    let address = socket_address("registry", &registry)?;
    let fleet: FleetSnapshot = runtime()?.block_on(status_client::fleet_snapshot(address))?;
    let findings = check(&config, &fleet);
    let threshold = if matches.opt_present("strict") { Severity::Warning } else { Severity::Error };
    let is_good = findings.iter().all(|finding| finding.severity < threshold);
    output::print_findings(&findings, is_good, fleet.revision, as_json);
    Ok(if is_good { Conclusion::Good } else { Conclusion::Findings })
}

/// Compares the revision of every daemon that these registries list with those that it had before. The
/// result is good unless a daemon is on an older revision, waits for its read index or is unreachable.
fn check_revisions(registries: &[String], as_json: bool) -> miette::Result<Conclusion> {
    let results = runtime()?.block_on(daemon_revisions(registries))?;
    let is_good = results.iter().all(|result| result.state == RevisionState::Current);
    output::print_revisions(&results, is_good, as_json);
    Ok(if is_good { Conclusion::Good } else { Conclusion::Findings })
}

async fn daemon_revisions(registries: &[String]) -> miette::Result<Vec<DaemonRevision>> {
    let mut daemons = ListedDaemons::default();
    for registry in registries {
        let address = socket_address("floors", registry)?;
        let status = status_client::page(address, "/v1/status").await?;
        daemons.add(&status).map_err(|error| miette::miette!("{error}"))?;
    }
    let mut results = Vec::new();
    for (name, listed) in &daemons.by_name {
        let path = if listed.role == "proxy" { "/vanepath/v1/status" } else { "/v1/status" };
        let status = match listed.address.parse() {
            Ok(address) => status_client::page(address, path).await.ok(),
            Err(_) => None,
        };
        results.push(compare(name, listed, status.as_ref()));
    }
    Ok(results)
}

fn socket_address(option: &str, text: &str) -> miette::Result<SocketAddr> {
    text.parse().map_err(|_| miette::miette!("--{option}: '{text}' is not an IP number and a port"))
}

fn runtime() -> miette::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("cannot start: {error}"))
}
