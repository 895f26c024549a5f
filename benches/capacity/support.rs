//! Test support that the measurements use.

#[expect(dead_code, reason = "tests use the rest")]
#[path = "../../tests/support/fake_worker.rs"]
pub mod fake_worker;
#[path = "../../tests/support/http_client.rs"]
pub mod http_client;
#[path = "../../tests/support/http_worker.rs"]
pub mod http_worker;
#[expect(dead_code, reason = "the quickstart uses the rest")]
#[path = "../../tests/support/in_process.rs"]
pub mod in_process;
#[path = "../../tests/support/ports.rs"]
pub mod ports;
