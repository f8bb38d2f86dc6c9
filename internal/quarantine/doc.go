// Package quarantine limits the damage by requests that crash every endpoint that runs them. The
// requests that ran on an endpoint when it died become suspects. A suspect runs on an endpoint
// without other suspects; if that endpoint dies too, the suspect is placed in quarantine.
package quarantine
