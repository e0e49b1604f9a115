//! The one place where a new configuration is taken in force, or refused, or tried again.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use super::patience::retry_for;
use super::signals::Signal;
use crate::config::{Config, ConfigError};

/// A file that can't be had for the moment is tried for so long, from the signal on.
const RETRY_FOR: Duration = Duration::from_secs(30);

/// Reloads the configuration at each signal. Only discovery's address takes effect at once, all
/// else at the next start. An invalid configuration changes nothing; one that can't be read for the
/// moment is tried again, until the next signal at the latest.
pub async fn reload_config(signal: Signal, discovery: watch::Sender<SocketAddr>) {
    signal.recv().await;
    loop {
        tokio::select! {
            biased;
            // Where signals come in a row, the last one counts.
            () = signal.recv() => {}
            () = reload(&discovery) => signal.recv().await,
        }
    }
}

/// Takes the configuration in force, or says why not.
async fn reload(discovery: &watch::Sender<SocketAddr>) {
    match retry_for(RETRY_FOR, ConfigError::is_momentary, Config::read).await {
        Ok(config) => {
            log::info!("configuration reloaded: discovery at {}", config.discovery);
            discovery.send_if_modified(|address| {
                let moved = *address != config.discovery;
                *address = config.discovery;
                moved
            });
        }
        Err(cause) => log::warn!("{cause}; all stays as it is"),
    }
}
