//! The limits of a run, and the resources that the system reports.

use crate::SIZE;
use reelfall_capacity::scale::limits::{
    estimated_memory, Deadline, Machine, TooLarge, MAX_RUN_DURATION, RESERVED_FILES,
};
use reelfall_capacity::scale::machine;
use reelfall_capacity::scale::report::Size;
use std::time::Duration;

const MACHINE: Machine = Machine {
    open_files: 20_000,
    memory: 24 << 30,
    cores: 8,
};

#[test]
fn nodes_beyond_the_open_file_limit_are_rejected() {
    let small = Machine {
        open_files: 1024,
        ..MACHINE
    };
    let fits = 1024 - RESERVED_FILES;
    assert_eq!(
        small.check(
            &Size {
                nodes: fits,
                ..SIZE
            },
            5
        ),
        Ok(())
    );
    let error = small
        .check(
            &Size {
                nodes: 6_000,
                ..SIZE
            },
            5,
        )
        .expect_err("too many");
    assert_eq!(
        error,
        TooLarge::Sockets {
            nodes: 6_000,
            needed: 6_512,
            limit: 1024,
            fits
        }
    );
    let message = error.to_string();
    assert!(
        message.contains("6512 open files") && message.contains("512 nodes fit"),
        "{message}"
    );
    assert_eq!(
        Machine {
            open_files: 10,
            ..MACHINE
        }
        .nodes_by_open_files(),
        0
    );
}

#[test]
fn nodes_beyond_half_of_the_memory_are_rejected() {
    let fits = MACHINE.nodes_by_memory(SIZE.servers);
    assert!(estimated_memory(fits, SIZE.servers) <= MACHINE.memory / 2);
    assert!(estimated_memory(fits + 1, SIZE.servers) > MACHINE.memory / 2);
    assert_eq!(
        MACHINE.check(
            &Size {
                nodes: fits,
                ..SIZE
            },
            5
        ),
        Ok(())
    );
    let error = MACHINE
        .check(
            &Size {
                nodes: fits + 1,
                ..SIZE
            },
            5,
        )
        .expect_err("too many");
    assert!(
        matches!(error, TooLarge::Memory { fits: reported, half_mib: 12288, .. } if reported == fits),
        "{error}"
    );
}

#[test]
fn too_few_nodes_and_too_many_processes_are_rejected() {
    let error = MACHINE
        .check(&Size { nodes: 1, ..SIZE }, 5)
        .expect_err("too few");
    assert!(matches!(error, TooLarge::TooFew { nodes: 1, .. }));
    let error = MACHINE.check(&SIZE, 300).expect_err("too many");
    assert_eq!(
        error,
        TooLarge::Processes {
            requested: 300,
            fits: 290
        }
    );
}

#[test]
fn deadline_is_at_most_ten_minutes_away() {
    assert!(Deadline::after(Duration::from_secs(86_400)).remaining() <= MAX_RUN_DURATION);
    assert_eq!(MAX_RUN_DURATION, Duration::from_secs(600));
    let over = Deadline::after(Duration::ZERO);
    assert!(over.remaining().is_zero() && !over.allows(Duration::ZERO));
}

#[test]
fn limits_and_memory_are_parsed_from_proc_files() {
    let limits = "Limit                     Soft Limit           Hard Limit           Units     \n\
                  Max open files            1024                 524288               files     \n";
    assert_eq!(machine::parse_open_files(limits), Some(1024));
    assert_eq!(
        machine::parse_open_files("Max open files  unlimited  unlimited  files"),
        Some(usize::MAX)
    );
    assert_eq!(
        machine::parse_open_files("Max processes  3  3  processes"),
        None
    );
    assert_eq!(
        machine::parse_kib("MemFree: 1 kB\nMemTotal:       24681456 kB\n", "MemTotal"),
        Some(24_681_456)
    );
    let here = machine::detect().expect("this machine");
    assert!(here.open_files > 0 && here.memory > 0 && here.cores > 0);
    assert!(machine::resident_memory().expect("memory") < here.memory);
}
