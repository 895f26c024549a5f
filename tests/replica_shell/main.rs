//! Replicas with their files and connections: real ones, and stand-ins that fail.

mod disk;
mod disk_full;
mod files;
mod group;
mod proxy;
mod running;
