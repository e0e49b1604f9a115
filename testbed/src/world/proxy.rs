//! Fault proxies between balancers and machines. Faults delay, drip, cut, copy, silence, half-close
//! or reset responses; requests pass at once or never. While responses may be copied, all of them
//! take some milliseconds, as on a path between machines: a copy may then come after the next
//! request was written and before its response.
//!
//! Requests are not delayed since the ledger records an attempt when it reaches its machine, and
//! the audit checks that time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

mod outgoing;

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
use crate::time::{to_duration, Clock, Micros, MS};
use outgoing::{Outgoing, OutgoingPieces};

/// Upper bound of the bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of a chunk that are forwarded one by one.
const DRIPPING_BYTES: usize = 40;
/// Pause after each of the dripping bytes.
const DRIP_INTERVAL: Duration = Duration::from_millis(2);
/// Upper bound of the delay of a piece of a response.
const MAX_DELAY: Duration = Duration::from_millis(300);
/// Time in which a machine must accept a connection; otherwise the balancer's is reset.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a response takes while responses may be copied.
const COPIED_PATH_DELAY: Micros = 18 * MS;
/// The faults that copy responses, of cache hosts and of the origin.
const COPY_FAULTS: [FaultKind; 2] = [FaultKind::ProxyCopy, FaultKind::OriginCopy];

/// The faults that proxies apply, each with its probability per piece of a response.
const PROXY_FAULTS: [FaultKind; 8] = [
    FaultKind::ProxyDelay,
    FaultKind::ProxyDrip,
    FaultKind::ProxyCut,
    FaultKind::ProxyCopy,
    FaultKind::OriginCopy,
    FaultKind::ProxySilence,
    FaultKind::ProxyHalfClose,
    FaultKind::ProxyReset,
];

/// The proxies of a world, one for each address of a machine that is advertised to a balancer.
pub struct FaultProxies {
    faults: FaultSchedule,
    clock: Clock,
    rng: RefCell<ChaCha8Rng>,
    /// The proxy's address, by the machine's address.
    proxy_addresses: RefCell<HashMap<SocketAddr, SocketAddr>>,
}

/// The path from one balancer to one machine, through a proxy.
#[derive(Clone)]
struct Route {
    proxies: Rc<FaultProxies>,
    machine: HostNo,
    balancer: usize,
    address: SocketAddr,
}

/// The state of a connection after a piece of a response.
enum Forwarding {
    /// The piece was forwarded, or the machine closed the connection gracefully.
    Passed,
    /// The connection stays open, and nothing more is forwarded.
    Silenced,
    /// The balancer's connection is to be reset.
    Reset,
}

impl FaultProxies {
    /// Creates the proxies for these faults.
    pub fn new(faults: FaultSchedule, clock: Clock, rng: ChaCha8Rng) -> Rc<FaultProxies> {
        Rc::new(FaultProxies { faults, clock, rng: RefCell::new(rng), proxy_addresses: RefCell::default() })
    }

    /// The address of a machine that discovery gives to a balancer: that of its proxy if the
    /// schedule has any proxy fault, otherwise the machine's own.
    pub fn advertised(
        self: &Rc<FaultProxies>,
        machine: HostNo,
        balancer: usize,
        address: SocketAddr,
    ) -> SocketAddr {
        if !self.faults.windows.iter().any(|window| PROXY_FAULTS.contains(&window.kind)) {
            return address;
        }
        if let Some(&proxy) = self.proxy_addresses.borrow().get(&address) {
            return proxy;
        }
        let route = Route { proxies: self.clone(), machine, balancer, address };
        match route.listen() {
            Ok(proxy) => {
                self.proxy_addresses.borrow_mut().insert(address, proxy);
                proxy
            }
            Err(cause) => {
                log::warn!("starting a proxy of {machine} failed, it is used without one: {cause}");
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
        // A request must not wait here for its machine and be forwarded late.
        let Ok(Ok(mut upstream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await else {
            reset_on_drop(&downstream);
            return;
        };
        let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
        let state = {
            let (mut from_balancer, mut to_balancer) = downstream.split();
            let (mut from_machine, mut to_machine) = upstream.split();
            tokio::select! {
                () = forward_requests(&mut from_balancer, &mut to_machine) => Forwarding::Reset,
                state = self.forward_responses(&mut from_machine, &mut to_balancer) => state,
            }
        };
        match state {
            Forwarding::Silenced => {
                // Both sides stay open and nothing is forwarded, until the balancer closes the
                // connection.
                let mut ignored = vec![0; CHUNK_BYTES];
                while matches!(downstream.read(&mut ignored).await, Ok(1..)) {}
            }
            Forwarding::Reset => reset_on_drop(&downstream),
            Forwarding::Passed => {}
        }
    }

    async fn forward_responses(&self, from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) -> Forwarding {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut outgoing = OutgoingPieces::default();
        let mut machine_closed = false;
        while !(machine_closed && outgoing.has_no_originals()) {
            tokio::select! {
                read = from.read(&mut chunk), if !machine_closed => match read {
                    Ok(0) => machine_closed = true,
                    Ok(count) => outgoing.add(self.now() + self.path_delay(), chunk[..count].to_vec()),
                    Err(_) => return Forwarding::Reset,
                },
                () = self.wait_until(outgoing.next_due()) => {}
            }
            while let Some(piece) = outgoing.take_due(self.now()) {
                match self.forward(piece, &mut outgoing, to).await {
                    Ok(Forwarding::Passed) => {}
                    Ok(other) => return other,
                    Err(_) => return Forwarding::Reset,
                }
            }
        }
        Forwarding::Passed
    }

    fn now(&self) -> Micros {
        self.proxies.clock.now()
    }

    /// Waits until the time, or forever if there is none.
    async fn wait_until(&self, due: Option<Micros>) {
        match due {
            Some(due) => sleep(to_duration((due - self.now()).max(0))).await,
            None => std::future::pending().await,
        }
    }

    /// How long a piece that the machine sends now takes to the balancer.
    fn path_delay(&self) -> Micros {
        let may_copy = COPY_FAULTS.into_iter().any(|kind| self.probability(kind) > 0.0);
        if may_copy {
            COPIED_PATH_DELAY
        } else {
            0
        }
    }

    /// Forwards a piece that is due; a copy of it may be added.
    async fn forward(
        &self,
        piece: Outgoing,
        outgoing: &mut OutgoingPieces,
        to: &mut WriteHalf<'_>,
    ) -> std::io::Result<Forwarding> {
        let (bytes, original_from) = match piece {
            Outgoing::Copy(copy) => {
                to.write_all(&copy).await?;
                return Ok(Forwarding::Passed);
            }
            Outgoing::Original { merged_copies, piece } => {
                let original_from = merged_copies.len();
                ([merged_copies, piece].concat(), original_from)
            }
        };
        let state = self.forward_piece(&bytes, to).await?;
        if COPY_FAULTS.into_iter().any(|kind| self.applies(kind)) {
            outgoing.add_copy(self.now(), &bytes[original_from..], &mut *self.proxies.rng.borrow_mut());
        }
        Ok(state)
    }

    /// Forwards a piece of a response, with the faults that apply to it.
    async fn forward_piece(&self, piece: &[u8], to: &mut WriteHalf<'_>) -> std::io::Result<Forwarding> {
        if self.applies(FaultKind::ProxySilence) {
            return Ok(Forwarding::Silenced);
        }
        if self.applies(FaultKind::ProxyReset) {
            return Ok(Forwarding::Reset);
        }
        if self.applies(FaultKind::ProxyDelay) {
            let part = self.proxies.rng.borrow_mut().random::<f64>();
            sleep(MAX_DELAY.mul_f64(part)).await;
        }
        if self.applies(FaultKind::ProxyCut) {
            to.write_all(&piece[..piece.len() / 2]).await?;
            return Ok(Forwarding::Reset);
        }
        if self.applies(FaultKind::ProxyDrip) {
            let dripping = piece.len().min(DRIPPING_BYTES);
            for byte in &piece[..dripping] {
                to.write_all(&[*byte]).await?;
                sleep(DRIP_INTERVAL).await;
            }
            to.write_all(&piece[dripping..]).await?;
        } else {
            to.write_all(piece).await?;
        }
        if self.applies(FaultKind::ProxyHalfClose) {
            to.shutdown().await?;
            return Ok(Forwarding::Silenced);
        }
        Ok(Forwarding::Passed)
    }

    fn probability(&self, kind: FaultKind) -> f64 {
        let FaultProxies { faults, clock, .. } = &*self.proxies;
        faults.probability(clock.now(), kind, self.machine, self.balancer)
    }

    fn applies(&self, kind: FaultKind) -> bool {
        let probability = self.probability(kind);
        probability > 0.0 && self.proxies.rng.borrow_mut().random::<f64>() < probability
    }
}

async fn forward_requests(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
