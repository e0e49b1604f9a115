//! Reloads the configuration at SIGHUP.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use super::retry::retry_for;
use super::signals::Signal;
use crate::config::{Config, ConfigError};

/// How long after the signal a file that is temporarily unreadable is tried again.
const RETRY_FOR: Duration = Duration::from_secs(30);

/// Reloads the configuration at each signal. Only discovery's address takes effect at once, all
/// other fields at the next start. An invalid configuration changes nothing. One that is
/// temporarily unreadable is tried again, until the next signal at the latest.
pub async fn reload_config(signal: Signal, discovery: watch::Sender<SocketAddr>) {
    signal.recv().await;
    loop {
        tokio::select! {
            biased;
            // A further signal cancels the reload in progress and starts another one.
            () = signal.recv() => {}
            () = reload(&discovery) => signal.recv().await,
        }
    }
}

/// Reads the configuration and applies it, or logs why it can't.
async fn reload(discovery: &watch::Sender<SocketAddr>) {
    match retry_for(RETRY_FOR, ConfigError::is_temporary, Config::read).await {
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
