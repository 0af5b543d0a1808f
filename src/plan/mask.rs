//! Chooses accelerators inside one worker.

use crate::site::Mask;

/// Returns `count` accelerators of `free`, aligned where possible.
///
/// The accelerators are chosen from the tightest aligned power-of-two window
/// with `count` free ones, and among equals from the one whose surroundings
/// are the least free, so that larger windows stay whole.
///
/// Returns `None` if fewer than `count` are free or `count` is 0.
pub fn choose(free: Mask, count: u32) -> Option<Mask> {
    if count == 0 || free.count_ones() < count {
        return None;
    }
    let mut size = count.next_power_of_two();
    while size < Mask::BITS {
        let tightest = windows(size)
            .filter(|(window, _)| (window & free).count_ones() >= count)
            .min_by_key(|&(window, index)| {
                let surrounding = surroundings(size, index);
                let free_count = |mask: Mask| (mask & free).count_ones();
                (free_count(window), surrounding.map(free_count))
            })
            .map(|(window, _)| window & free);
        if let Some(open) = tightest {
            return Some(lowest(open, count));
        }
        size *= 2;
    }
    Some(lowest(free, count))
}

/// Returns the aligned windows of `size` accelerators, each with its index.
fn windows(size: u32) -> impl Iterator<Item = (Mask, u32)> {
    (0..Mask::BITS / size).map(move |index| (window(size, index), index))
}

fn window(size: u32, index: u32) -> Mask {
    (Mask::MAX >> (Mask::BITS - size)) << (index * size)
}

/// Returns the next two larger windows around one, up to a full mask.
fn surroundings(size: u32, index: u32) -> [Mask; 2] {
    [1, 2].map(|doublings| {
        let larger = (size << doublings).min(Mask::BITS);
        window(larger, index * size / larger)
    })
}

/// Returns the `count` lowest accelerators of `free`.
fn lowest(free: Mask, count: u32) -> Mask {
    let mut remaining = free;
    let mut chosen = 0;
    for _ in 0..count {
        let bit = remaining & remaining.wrapping_neg();
        chosen |= bit;
        remaining &= !bit;
    }
    chosen
}
