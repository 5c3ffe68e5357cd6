/**
 * Load scenarios in virtual time that run the production scheduler over simulated engines and compare the results of
 * scheduling policies. Shared by {@code bench decisions} and the tests.
 */
package org.quetzalshunt.app.bench.scenario;
