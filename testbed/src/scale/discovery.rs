//! The emulated discovery of a scale run: one for all balancers. A call from a version on is held until there is
//! something newer or its hold is over, as the platform's is; a host that is told as leaving is told as active
//! again by the next change, so that the list keeps its size.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::http;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::worker_process::{in_json, Worker, WorkerCommand, WorkerReply};
use crate::load::player::thread_cpu;
use crate::world::discovery::{changes_asked, held};
use crate::world::host::listen;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoverySpec {
    /// The hosts as entries of the list.
    pub entries: Vec<Value>,
    /// Changes of the list a second, evenly, once it was asked to begin; the seed draws whose.
    pub changes_per_s: f64,
    pub seed: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryReady {
    pub address: SocketAddr,
}

/// Counters since the start; changes since the last mark.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoverySnapshot {
    pub cpu_s: f64,
    pub calls: u64,
    /// Of requests and of answers, without what TCP adds.
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Each version, and when it came (Unix time in microseconds).
    pub changes: Vec<(u64, i64)>,
}

pub fn unix_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_micros() as i64)
}

pub struct Discovery {
    spec: DiscoverySpec,
    address: SocketAddr,
    /// Each entry, and the version that brought it.
    entries: RefCell<Vec<(u64, Value)>>,
    generation: watch::Sender<u64>,
    /// The last answer, since many ask alike: from which version to which.
    page: RefCell<Option<(Option<u64>, u64, Bytes)>>,
    silent: watch::Sender<bool>,
    changing: Cell<bool>,
    mark: RefCell<DiscoverySnapshot>,
}

impl Discovery {
    /// # Errors
    /// Where it can't listen.
    pub fn start(spec: DiscoverySpec) -> std::io::Result<Rc<Discovery>> {
        let listener = listen((Ipv4Addr::new(127, 31, 0, 1), 0).into())?;
        let discovery = Rc::new(Discovery {
            address: listener.local_addr()?,
            entries: RefCell::new(spec.entries.iter().map(|entry| (1, entry.clone())).collect()),
            generation: watch::Sender::new(1),
            page: RefCell::default(),
            silent: watch::Sender::new(false),
            changing: Cell::new(false),
            mark: RefCell::default(),
            spec,
        });
        spawn_local(discovery.clone().accept(listener));
        spawn_local(discovery.clone().change());
        Ok(discovery)
    }

    async fn change(self: Rc<Discovery>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.spec.seed);
        let mut leaving = None;
        let mut begun = false;
        loop {
            if !self.changing.get() || self.spec.changes_per_s <= 0.0 {
                begun = false;
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            // Evenly: a short stretch is to see as many with every seed; and none at its very end.
            let part = if std::mem::replace(&mut begun, true) { 1.0 } else { 0.25 };
            sleep(Duration::from_secs_f64((part / self.spec.changes_per_s).min(10.0))).await;
            let hosts = self.spec.entries.len();
            let (nth, lifecycle) = match leaving.take() {
                Some(nth) => (nth, "active"),
                None => (*leaving.insert(rng.random_range(0..hosts)), "leaving"),
            };
            let generation = *self.generation.borrow() + 1;
            if let Some(entry) = self.entries.borrow_mut().get_mut(nth) {
                entry.0 = generation;
                entry.1["lifecycle"] = lifecycle.into();
            }
            self.mark.borrow_mut().changes.push((generation, unix_us()));
            self.generation.send_replace(generation);
        }
    }

    async fn accept(self: Rc<Discovery>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve(stream));
                }
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve(self: Rc<Discovery>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::new(16 * 1024);
        let mut silent = self.silent.subscribe();
        loop {
            let request = match http::parse_request(buffer.bytes(), 0) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let Ok(room) = buffer.unfilled() else { return };
                    match stream.read_buf(room).await {
                        Ok(1..) => continue,
                        _ => return,
                    }
                }
                Err(_) => return,
            };
            buffer.consume(request.consumed);
            {
                let mut mark = self.mark.borrow_mut();
                mark.calls += 1;
                mark.bytes_in += request.consumed as u64;
            }
            let asked = changes_asked(&request.path);
            if !held(&mut stream, &self.generation, asked).await {
                return;
            }
            let from = asked.map(|(from, _)| from);
            if silent.wait_for(|silent| !silent).await.is_err() {
                return;
            }
            let text = self.page(from);
            if stream.write_all(&text).await.is_err() {
                return;
            }
            self.mark.borrow_mut().bytes_out += text.len() as u64;
        }
    }

    /// What is newer than a version, or all.
    fn page(&self, from: Option<u64>) -> Bytes {
        let generation = *self.generation.borrow();
        if let Some((of, to, text)) = &*self.page.borrow() {
            if (*of, *to) == (from, generation) {
                return text.clone();
            }
        }
        let entries = self.entries.borrow();
        let newer = entries.iter().filter(|entry| from.is_none_or(|from| entry.0 > from));
        let instances: Vec<&Value> = newer.map(|entry| &entry.1).collect();
        let page = json!({"generation": generation, "reset": from.is_none(), "instances": instances});
        let body = page.to_string();
        let text = http::encode_response(200, &[("Content-Type", "application/json")], body.as_bytes());
        self.page.replace(Some((from, generation, text.clone())));
        text
    }
}

impl Worker for Discovery {
    fn up(&self) -> WorkerReply {
        in_json(&DiscoveryReady { address: self.address })
    }

    fn asked(self: Rc<Self>, asked: WorkerCommand) -> WorkerReply {
        match asked {
            WorkerCommand::Start => self.changing.set(true),
            WorkerCommand::Stop => self.changing.set(false),
            WorkerCommand::StopResponding => drop(self.silent.send_replace(true)),
            WorkerCommand::ResumeResponding => drop(self.silent.send_replace(false)),
            WorkerCommand::Snapshot => {}
        }
        let mut mark = self.mark.borrow_mut();
        mark.cpu_s = thread_cpu();
        let said = in_json(&*mark);
        mark.changes.clear();
        said
    }
}
