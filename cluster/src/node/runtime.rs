//! The threads of a program, the signals that stop it, and its random numbers.

use signal_hook::flag;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// At most this many threads run a program's tasks.
const MAX_WORKER_THREADS: usize = 4;
/// Tasks that still run when the main future has ended are cut off after this long.
const MAX_RUNTIME_SHUTDOWN: Duration = Duration::from_millis(100);

/// A random number from the operating system.
pub fn random() -> u64 {
    getrandom::u64().expect("the system gives random numbers")
}

/// Runs a program's main future on several threads. What still runs at its end is cut off, within `grace`.
///
/// # Errors
/// Those of the main future, and that the threads cannot be started.
pub fn run_on_runtime(
    grace: Duration,
    main: impl Future<Output = Result<(), miette::Report>>,
) -> Result<(), miette::Report> {
    let threads =
        std::thread::available_parallelism().map_or(2, |cores| cores.get().min(MAX_WORKER_THREADS));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    let outcome = runtime.block_on(main);
    runtime.shutdown_timeout(grace.min(MAX_RUNTIME_SHUTDOWN));
    outcome
}

/// The signals that stop a program.
pub(super) struct ShutdownSignals {
    /// Set within the signal handler: whatever runs after the signal sees it, before any task is told.
    pub is_signalled: Arc<AtomicBool>,
    /// Turns true once the program's tasks are told.
    pub stop: watch::Receiver<bool>,
}

/// Watches for SIGTERM and SIGINT.
pub(super) fn watch_shutdown_signals() -> Result<ShutdownSignals, miette::Report> {
    let failed = |error| miette::miette!("cannot watch for signals: {error}");
    let (sender, stop) = watch::channel(false);
    let is_signalled = Arc::new(AtomicBool::new(false));
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        flag::register(kind.as_raw_value(), is_signalled.clone()).map_err(failed)?;
    }
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("shutdown requested");
        sender.send_replace(true);
        // The sender stays, so that receivers never see a closed channel.
        std::future::pending::<()>().await;
    });
    Ok(ShutdownSignals { is_signalled, stop })
}
