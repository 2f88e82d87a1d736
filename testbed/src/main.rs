//! vanepath-testbed: the command line of the simulator, the soak tests, the demonstration fleet and the
//! measurements.

mod commands;

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("simulate") => commands::simulate::run(&arguments[1..]),
        Some("demo") => commands::demo::run(&arguments[1..]),
        Some("measure") => commands::measure::run(),
        Some("measure-tenants") => commands::measure_tenants::run(),
        Some("replay") => commands::replay::run(&arguments[1..]),
        Some("soak") => commands::soak::run(&arguments[1..]),
        Some("starts") => commands::starts::run(&arguments[1..]),
        Some("--version") => {
            println!("vanepath-testbed {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => {
            println!(
                "Usage: vanepath-testbed COMMAND\n\
                 demo      a whole fleet on loopback addresses, until Ctrl-C\n\
                 replay    the requests of a HAR file against a fleet; --help says more\n\
                 measure   processor time that a proxy adds to a request, against going direct\n\
                 measure-tenants   what tenants cost a node: bytes, parsing, memory, authentication\n\
                 simulate  days of a fleet with faults, in simulated time; --help says more\n\
                 soak      a fleet of processes under series of troubles; --help says more\n\
                 starts    time from the start of a daemon until it takes work, in simulated time; \
                 --help says more"
            );
            Ok(())
        }
    }
}
