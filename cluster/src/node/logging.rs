//! The log: lines on standard error for changes of state; everything else is counted (design 9.3).

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::TextLayout;

/// Starts logging, at the level `info` unless `RUST_LOG` says otherwise. Called once by each program.
pub fn init_logging() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(TextLayout::default().no_color()))
        })
        .apply();
}
