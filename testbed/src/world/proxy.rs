//! Fault proxies between balancers and machines: what goes to a machine passes at once or never,
//! what comes from it is delayed, dripped, cut, copied, silenced, half closed or reset by the script.
//!
//! Towards machines nothing is delayed: the ledger records an attempt as it reaches its machine, and
//! the audit judges it by that time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::faults::FaultSchedule;
use super::listener::{listen, reset_on_drop};
use crate::experiment::FaultKind;
use crate::ledger::HostNo;
use crate::time::Clock;

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of a chunk that drip one by one, and the pause between them.
const DRIPPING_BYTES: usize = 40;
const DRIP_INTERVAL: Duration = Duration::from_millis(2);
/// How long a response is delayed, at most.
const MAX_DELAY: Duration = Duration::from_millis(300);
/// A machine that takes longer to accept is not there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// A copy follows its original after this time.
const COPY_DELAY: Duration = Duration::from_millis(3);

/// The faults that a proxy plays, each with its probability for a piece of a response.
const PROXY_FAULTS: [FaultKind; 7] = [
    FaultKind::ProxyDelay,
    FaultKind::ProxyDrip,
    FaultKind::ProxyCut,
    FaultKind::ProxyCopy,
    FaultKind::ProxySilence,
    FaultKind::ProxyHalfClose,
    FaultKind::ProxyReset,
];

/// The proxies of a world, one for each address of a machine that a balancer is told.
pub struct FaultProxies {
    faults: FaultSchedule,
    clock: Clock,
    rng: RefCell<ChaCha8Rng>,
    /// Where the proxy of a machine's address listens.
    listening: RefCell<HashMap<SocketAddr, SocketAddr>>,
}

/// One proxy's way from a balancer to a machine.
#[derive(Clone)]
struct Route {
    proxies: Rc<FaultProxies>,
    machine: HostNo,
    balancer: usize,
    address: SocketAddr,
}

/// What becomes of a connection after a piece of a response.
enum Passed {
    On,
    Silenced,
    Ended,
}

impl FaultProxies {
    /// Proxies that play these faults.
    pub fn new(faults: FaultSchedule, clock: Clock, rng: ChaCha8Rng) -> Rc<FaultProxies> {
        Rc::new(FaultProxies { faults, clock, rng: RefCell::new(rng), listening: RefCell::default() })
    }

    /// Where a balancer is to find a machine: at its proxy, where the script has faults for any.
    pub fn advertised(
        self: &Rc<FaultProxies>,
        machine: HostNo,
        balancer: usize,
        address: SocketAddr,
    ) -> SocketAddr {
        if !self.faults.windows.iter().any(|window| PROXY_FAULTS.contains(&window.kind)) {
            return address;
        }
        if let Some(&proxy) = self.listening.borrow().get(&address) {
            return proxy;
        }
        let route = Route { proxies: self.clone(), machine, balancer, address };
        match route.listen() {
            Ok(proxy) => {
                self.listening.borrow_mut().insert(address, proxy);
                proxy
            }
            Err(cause) => {
                log::warn!("a proxy of {machine}: {cause}");
                address
            }
        }
    }
}

impl Route {
    fn listen(self) -> std::io::Result<SocketAddr> {
        let listener = listen((Ipv4Addr::new(127, 32, 0, 1), 0).into())?;
        let address = listener.local_addr()?;
        spawn_local(self.accept(listener));
        Ok(address)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self, mut downstream: TcpStream) {
        // Nothing waits here for a machine that does not come up, to be passed on late.
        let Ok(Ok(mut upstream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await else {
            reset_on_drop(&downstream);
            return;
        };
        let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
        let ended = {
            let (mut from_balancer, mut to_balancer) = downstream.split();
            let (mut from_machine, mut to_machine) = upstream.split();
            tokio::select! {
                () = pass_requests(&mut from_balancer, &mut to_machine) => Passed::Ended,
                passed = self.pass_responses(&mut from_machine, &mut to_balancer) => passed,
            }
        };
        match ended {
            Passed::Silenced => {
                // Both sides stay open, and nothing passes any more, until the balancer gives up.
                let mut ignored = vec![0; CHUNK_BYTES];
                while matches!(downstream.read(&mut ignored).await, Ok(1..)) {}
            }
            Passed::Ended => reset_on_drop(&downstream),
            Passed::On => {}
        }
    }

    async fn pass_responses(&self, from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) -> Passed {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = match from.read(&mut chunk).await {
                Ok(count @ 1..) => count,
                Ok(_) => return Passed::On,
                Err(_) => return Passed::Ended,
            };
            match self.pass(&chunk[..count], to).await {
                Ok(Passed::On) => {}
                Ok(other) => return other,
                Err(_) => return Passed::Ended,
            }
        }
    }

    /// Passes a piece of a response on, with what the script makes of it.
    async fn pass(&self, piece: &[u8], to: &mut WriteHalf<'_>) -> std::io::Result<Passed> {
        if self.strikes(FaultKind::ProxySilence) {
            return Ok(Passed::Silenced);
        }
        if self.strikes(FaultKind::ProxyReset) {
            return Ok(Passed::Ended);
        }
        if self.strikes(FaultKind::ProxyDelay) {
            let part = self.proxies.rng.borrow_mut().random::<f64>();
            sleep(MAX_DELAY.mul_f64(part)).await;
        }
        if self.strikes(FaultKind::ProxyCut) {
            to.write_all(&piece[..piece.len() / 2]).await?;
            return Ok(Passed::Ended);
        }
        if self.strikes(FaultKind::ProxyDrip) {
            let dripping = piece.len().min(DRIPPING_BYTES);
            for byte in &piece[..dripping] {
                to.write_all(&[*byte]).await?;
                sleep(DRIP_INTERVAL).await;
            }
            to.write_all(&piece[dripping..]).await?;
        } else {
            to.write_all(piece).await?;
        }
        if self.strikes(FaultKind::ProxyCopy) {
            sleep(COPY_DELAY).await;
            to.write_all(piece).await?;
        }
        if self.strikes(FaultKind::ProxyHalfClose) {
            to.shutdown().await?;
            return Ok(Passed::Silenced);
        }
        Ok(Passed::On)
    }

    fn strikes(&self, kind: FaultKind) -> bool {
        let FaultProxies { faults, clock, rng, .. } = &*self.proxies;
        let probability = faults.probability(clock.now(), kind, self.machine, self.balancer);
        probability > 0.0 && rng.borrow_mut().random::<f64>() < probability
    }
}

async fn pass_requests(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
