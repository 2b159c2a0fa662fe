/** Benchmarks: policy simulations and capacity measurements. Section 3 of docs/design.md describes the module. */
package org.fulmarreach.bench;
