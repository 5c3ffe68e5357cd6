/** Stand-in of a plain service whose calls are not idempotent. */
package org.quetzalshunt.standin.service;
