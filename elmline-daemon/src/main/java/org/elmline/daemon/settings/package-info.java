/**
 * Settings of each process: one JSON file, checked against a JSON Schema and against impossible combinations before
 * anything opens. Every problem is named by its path at once, with what would be right.
 */
package org.elmline.daemon.settings;
