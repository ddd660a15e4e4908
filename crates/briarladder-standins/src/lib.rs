//! Small stand-ins for the systems around briarladder, with switchable
//! faults. They serve tests, the demo and the benchmarks on loopback.
