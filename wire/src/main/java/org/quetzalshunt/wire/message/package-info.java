/** Messages between processes as Thrift compact protocol bytes, with bounds on every length. */
package org.quetzalshunt.wire.message;
