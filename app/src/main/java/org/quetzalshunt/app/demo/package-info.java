/** {@code quetzalshunt demo}: runs agent programs on a loopback deployment while failures are injected. */
package org.quetzalshunt.app.demo;
