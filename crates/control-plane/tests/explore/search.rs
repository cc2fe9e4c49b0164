//! The search: breadth first over all states, each known by a hash.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use crate::properties::{Property, comes_to_an_end};
use crate::world::{Event, World};

/// Worlds have most of their parts in common with those before them; a part is hashed once.
#[derive(Clone)]
pub struct Shared<T> {
    pub value: Arc<T>,
    pub print: u64,
}

impl<T: Clone + Hash> Shared<T> {
    pub fn new(value: T) -> Shared<T> {
        Shared { print: print(&value), value: Arc::new(value) }
    }

    pub fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(Arc::make_mut(&mut self.value));
        self.print = print(&*self.value);
        result
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.print.hash(state);
    }
}

pub fn print(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

pub struct Trace {
    pub event: Event,
    pub before: Option<Arc<Trace>>,
}

pub struct Node {
    pub world: World,
    pub trace: Option<Arc<Trace>>,
}

impl Node {
    pub fn after(&self, event: Event, world: World) -> Node {
        Node { world, trace: Some(Arc::new(Trace { event, before: self.trace.clone() })) }
    }

    pub fn events(&self) -> Vec<String> {
        let mut events: Vec<String> =
            std::iter::successors(self.trace.as_ref(), |trace| trace.before.as_ref())
                .map(|trace| format!("{:?}", trace.event))
                .collect();
        events.reverse();
        events
    }
}

pub type Broken = (Property, Vec<String>);

pub struct Found {
    pub states: usize,
    pub broken: Option<Broken>,
}

/// Breadth first, so that what is found is found by a shortest way.
pub fn explore(start: World) -> Found {
    let mut seen = HashSet::from([print(&start)]);
    let mut level = vec![Node { world: start, trace: None }];
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut known = vec![HashSet::new(); threads];
    while !level.is_empty() {
        let parts = level.chunks(level.len().div_ceil(threads));
        let results: Vec<Result<Vec<(u64, Node)>, Broken>> = std::thread::scope(|scope| {
            let seen = &seen;
            let part = |(nodes, known)| scope.spawn(move || expand(nodes, seen, known));
            let parts: Vec<_> = parts.zip(&mut known).map(part).collect();
            parts.into_iter().map(|part| part.join().expect("a part of the search ends")).collect()
        });
        let mut next = Vec::new();
        for result in results {
            match result {
                Ok(nodes) => next.extend(nodes.into_iter().filter(|(print, _)| seen.insert(*print))),
                Err(broken) => return Found { states: seen.len(), broken: Some(broken) },
            }
        }
        level = next.into_iter().map(|(_, node)| node).collect();
    }
    Found { states: seen.len(), broken: None }
}

pub fn expand(
    nodes: &[Node],
    seen: &HashSet<u64>,
    known: &mut HashSet<u64>,
) -> Result<Vec<(u64, Node)>, Broken> {
    let (mut next, mut fresh) = (Vec::new(), HashSet::new());
    for node in nodes {
        comes_to_an_end(&node.world, known).map_err(|property| (property, node.events()))?;
        for event in node.world.events() {
            let mut world = node.world.clone();
            let outputs = world.step(&event);
            let mut after = vec![(event.clone(), world, outputs)];
            if let (Event::Keeper(heard, _), Ok(outputs), true) = (event, outputs, node.world.faults.keeper) {
                for crash in 1..outputs {
                    let mut world = node.world.clone();
                    let event = Event::Keeper(heard, Some(crash));
                    let outputs = world.step(&event);
                    after.push((event, world, outputs));
                }
            }
            for (event, world, outputs) in after {
                // Danger: a step that breaks a property may leave the world as it was, and that one has been seen.
                if let Err(property) = outputs {
                    return Err((property, node.after(event, world).events()));
                }
                let print = print(&world);
                if !seen.contains(&print) && fresh.insert(print) {
                    next.push((print, node.after(event, world)));
                }
            }
        }
    }
    Ok(next)
}
