//! Reloading of the settings file while the program runs (design 2.2).

use super::gossip_actor::{GossipActor, HandleEvent};
use crate::gossip::Event;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use vanepath_config::settings::{Invocation, Settings, parse_arguments};

/// The interval at which the file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Reloads the settings file on SIGHUP and when it has changed. Changed seeds are applied at once, all other
/// settings at the next start.
pub(super) async fn follow_settings(mut current: Settings, gossip: xtra::Address<GossipActor>) {
    let Some(file) = current.file.clone() else { return };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let fingerprint =
        || std::fs::metadata(&file).ok().map(|meta| (meta.modified().ok(), meta.len()));
    let mut last_fingerprint = fingerprint();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                if fingerprint() == last_fingerprint {
                    continue;
                }
            }
        }
        last_fingerprint = fingerprint();
        match parse_arguments(current.role, &current.arguments) {
            Ok(Invocation::Run(settings)) => {
                if settings.seeds != current.seeds {
                    log::info!("settings reloaded; seeds are now {:?}", settings.seeds);
                    current.seeds = settings.seeds.clone();
                    let _ = gossip.send(HandleEvent(Event::SeedsChanged(settings.seeds))).await;
                }
            }
            Ok(Invocation::Print(_)) => {}
            Err(report) => log::warn!("cannot reload settings, keeping the current ones: {report}"),
        }
    }
}
