/** Benchmarks that run without a cluster, as subcommands of {@code bench}. */
package org.quetzalshunt.app.bench;
