/** Stand-in of a plain service with calls that must not be repeated. */
package org.quetzalshunt.standin.service;
