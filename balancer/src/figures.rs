//! The figures that operators fetch, counted where peers see them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use basaltwood::types::CategoryId;
use basaltwood_management::Page;

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Shed,
    Errors,
}

pub struct Figures {
    categories: Vec<String>,
    /// By category, in the order of `Outcome`.
    ended: RefCell<Vec<[u64; 3]>>,
    tries: Cell<u64>,
    active: Cell<u64>,
    /// Cache hosts listed, and those of them that are avoided.
    pool: Cell<(usize, usize)>,
}

/// An op that was taken and has not ended for its client. Dropped without an outcome it was abandoned, and counts as
/// none: every way out of an op passes here once.
pub struct Taken(Rc<Figures>, CategoryId);

impl Taken {
    pub fn ended(self, outcome: Outcome) {
        if let Some(ended) = self.0.ended.borrow_mut().get_mut(usize::from(self.1 .0)) {
            ended[outcome as usize] += 1;
        }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

impl Figures {
    /// Each category stands at 0 from the start.
    pub fn new(categories: Vec<String>) -> Rc<Figures> {
        let ended = RefCell::new(vec![[0; 3]; categories.len()]);
        let (tries, active, pool) = (Cell::default(), Cell::default(), Cell::default());
        Rc::new(Figures { categories, ended, tries, active, pool })
    }

    pub fn take(self: &Rc<Figures>, category: CategoryId) -> Taken {
        self.active.set(self.active.get() + 1);
        Taken(self.clone(), category)
    }

    /// A push was written whole, to a cache host or the origin.
    pub fn tried(&self) {
        self.tries.set(self.tries.get() + 1);
    }

    pub fn pool(&self, listed: usize, avoided: usize) {
        self.pool.set((listed, avoided));
    }

    /// There are hosts to route by.
    pub fn listed(&self) -> bool {
        self.pool.get().0 > 0
    }

    /// The page of figures, from counts that stand ready.
    pub fn page(&self) -> Page {
        let mut page = Page::default();
        let ended = self.ended.borrow();
        for (name, help, which) in [
            ("edge_proxy_ok", "Ops whose value was written to the client.", Outcome::Ok),
            ("edge_proxy_shed", "Ops refused: trying again is harmless.", Outcome::Shed),
            ("edge_proxy_errors", "Ops that failed.", Outcome::Errors),
        ] {
            let by_kind = self.categories.iter().zip(ended.iter());
            let samples = by_kind.map(|(kind, ended)| (Some(("kind", kind.as_str())), ended[which as usize]));
            page.figure(name, "counter", help, samples);
        }
        let (listed, avoided) = self.pool.get();
        for (name, kind, help, number) in [
            (
                "edge_proxy_tries",
                "counter",
                "Pushes written whole, to cache hosts and the origin.",
                self.tries.get(),
            ),
            ("edge_proxy_active", "gauge", "Ops taken and not ended.", self.active.get()),
            ("edge_proxy_pool_size", "gauge", "Cache hosts in the list.", listed as u64),
            ("edge_proxy_pool_ejected", "gauge", "Listed cache hosts that are avoided now.", avoided as u64),
        ] {
            page.figure(name, kind, help, [(None, number)]);
        }
        page
    }
}
