/**
 * Admission of submissions under overload: a pure forecast of whether a submission can still be
 * served, and the schedule by which refused callers return. See docs/design/admission.md.
 */
package dev.dandelionport.core.admission;
