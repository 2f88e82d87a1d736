//! The async runtime of a program, its shutdown signals, and random numbers.

use signal_hook::flag;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// The maximum number of worker threads.
const MAX_WORKER_THREADS: usize = 4;
/// The upper limit on the time for which the runtime waits for remaining tasks after the main future ended.
const MAX_RUNTIME_SHUTDOWN: Duration = Duration::from_millis(100);

/// A random number from the operating system.
pub fn random() -> u64 {
    getrandom::u64().expect("the operating system provides random numbers")
}

/// Runs a program's main future on a multi-threaded runtime. Tasks that still run when it ends are dropped
/// within `grace_period`.
///
/// # Errors
/// The error of the main future, or that the threads cannot be started.
pub fn run_on_runtime(
    grace_period: Duration,
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
    runtime.shutdown_timeout(grace_period.min(MAX_RUNTIME_SHUTDOWN));
    outcome
}

/// The state of the signals that shut a program down.
pub(super) struct ShutdownSignals {
    /// Set by the signal handler itself, so that it is visible before any task is notified.
    pub is_signalled: Arc<AtomicBool>,
    /// Becomes true when the program's tasks are notified.
    pub stop: watch::Receiver<bool>,
}

/// Watches for SIGTERM and SIGINT.
pub(super) fn watch_shutdown_signals() -> Result<ShutdownSignals, miette::Report> {
    let watch_error = |error| miette::miette!("cannot watch for signals: {error}");
    let (sender, stop) = watch::channel(false);
    let is_signalled = Arc::new(AtomicBool::new(false));
    let mut terminate = signal(SignalKind::terminate()).map_err(watch_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(watch_error)?;
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        flag::register(kind.as_raw_value(), is_signalled.clone()).map_err(watch_error)?;
    }
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("shutdown requested");
        sender.send_replace(true);
        // Keep the sender, so that receivers never see a closed channel.
        std::future::pending::<()>().await;
    });
    Ok(ShutdownSignals { is_signalled, stop })
}
