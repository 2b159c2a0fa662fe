/** Measures how message bytes, CPU time and heap grow with size, for docs/CAPACITY.md. */
package org.fulmarreach.bench.slopes;
