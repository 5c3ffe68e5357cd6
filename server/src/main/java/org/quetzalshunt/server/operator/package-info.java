/** Command line for operators: documents, status and dumps through the administration API. */
package org.quetzalshunt.server.operator;
