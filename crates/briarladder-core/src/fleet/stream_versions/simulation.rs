//! Simulations of fleets in which streams break off and are taken up.
