//! Cuts a failing script down: troubles are taken out one by one while it still fails.

use super::script::Script;

/// The shortest script found that still fails, by `fails`; `None` where it does not fail again.
///
/// Real sockets do not repeat a run to the microsecond: a script counts as failing if one of
/// `attempts` plays does.
///
/// # Errors
/// What `fails` returns where a script could not be played.
pub fn reduce<E>(
    script: &Script,
    attempts: usize,
    fails: &mut dyn FnMut(&Script) -> Result<bool, E>,
) -> Result<Option<Script>, E> {
    if !fails_once(script, attempts, fails)? {
        return Ok(None);
    }
    let mut shortest = script.clone();
    let mut nth = 0;
    while nth < shortest.troubles.len() && shortest.troubles.len() > 1 {
        let shorter = shortest.without(nth);
        if fails_once(&shorter, attempts, fails)? {
            shortest = shorter;
        } else {
            nth += 1;
        }
    }
    Ok(Some(shortest))
}

fn fails_once<E>(
    script: &Script,
    attempts: usize,
    fails: &mut dyn FnMut(&Script) -> Result<bool, E>,
) -> Result<bool, E> {
    for _ in 0..attempts {
        if fails(script)? {
            return Ok(true);
        }
    }
    Ok(false)
}
