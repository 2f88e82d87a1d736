//! Resource usage of a process, read from `/proc`.

use super::record::Usage;

/// Reads the resource usage of a process; `None` if the process does not exist.
pub fn read(pid: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let open_files = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
    Some(Usage {
        memory_kb: field(&status, "VmRSS:")?,
        open_files,
        threads: field(&status, "Threads:")?,
    })
}

fn field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
