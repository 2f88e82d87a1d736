//! Reading the settings file again while the program runs (design 2.2).

use super::gossip_actor::{GossipActor, HandleEvent};
use crate::gossip::Event;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use vanepath_config::settings::{Invocation, Settings, start};

/// How often the program looks whether the file has changed.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Follows the settings file, upon SIGHUP and when it has changed. Other seeds are taken over at once,
/// everything else with the next start.
pub(super) async fn follow_settings(mut current: Settings, gossip: xtra::Address<GossipActor>) {
    let Some(file) = current.file.clone() else { return };
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let stamp = || std::fs::metadata(&file).ok().map(|meta| (meta.modified().ok(), meta.len()));
    let mut last_stamp = stamp();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                if stamp() == last_stamp {
                    continue;
                }
            }
        }
        last_stamp = stamp();
        match start(current.role, &current.arguments) {
            Ok(Invocation::Run(settings)) => {
                if settings.seeds != current.seeds {
                    log::info!("seeds changed: {:?}", settings.seeds);
                    current.seeds = settings.seeds.clone();
                    let _ = gossip.send(HandleEvent(Event::SeedsChanged(settings.seeds))).await;
                }
            }
            Ok(Invocation::Print(_)) => {}
            Err(report) => log::warn!("changed settings are not applied: {report}"),
        }
    }
}
