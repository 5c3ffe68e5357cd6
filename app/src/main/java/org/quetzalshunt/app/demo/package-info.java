/** {@code quetzalshunt demo}: a deployment on loopback that runs real programs while parts of it fail. */
package org.quetzalshunt.app.demo;
