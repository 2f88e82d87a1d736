//! Logging to standard error. State changes are logged; everything else is counted in metrics (design 9.3).

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::TextLayout;

/// Initializes logging, at the level `info` unless `RUST_LOG` is set. Each program calls this once.
pub fn init_logging() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(TextLayout::default().no_color()))
        })
        .apply();
}
