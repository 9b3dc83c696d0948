package flow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/persimmonridge/persimmonridge/internal/edge/ingress"
	"github.com/persimmonridge/persimmonridge/internal/state/catalog"
	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

// awaitCatalog returns the configuration. Shortly after the start of the process it waits for
// the first one.
func (c *call) awaitCatalog(ctx context.Context) *catalog.Catalog {
	longest := configurationWait
	if c.request.Timeout > 0 {
		longest = min(longest, time.Duration(configurationWaitShare*float64(c.request.Timeout)))
	}
	current := c.Catalog()
	for current == nil && c.ConfigurationDue != nil && c.ConfigurationDue(c.Now()) && c.Now().Sub(c.arrivedAt) < longest && ctx.Err() == nil {
		wait.For(ctx, startPollInterval)
		current = c.Catalog()
	}
	return current
}

// admit looks up route, workspace and tier, and refuses requests that the
// configuration does not allow.
func (c *call) admit(ctx context.Context) bool {
	c.catalog = c.awaitCatalog(ctx)
	if c.catalog == nil {
		c.refuse(http.StatusServiceUnavailable, unconfiguredRetryAfter, "no configuration loaded yet")
		return false
	}
	c.route = c.catalog.Route(c.request.Host, c.request.Path)
	if c.route == nil {
		c.refuse(http.StatusNotFound, 0, "no matching route")
		return false
	}
	c.workspace = c.catalog.WorkspaceByKey(c.request.APIKey)
	c.tier = c.catalog.Tier(c.route, c.workspace)
	if c.workspace == nil && !c.route.Public && c.catalog.HasWorkspaces() {
		c.refuse(http.StatusUnauthorized, 0, "unknown API key")
		return false
	}
	return c.findDomains()
}

// findDomains looks up the failure domains that may get the request, and refuses it if
// there are none.
func (c *call) findDomains() bool {
	regions, restricted := catalog.AllowedRegions(c.route, c.workspace)
	if !restricted {
		return true
	}
	if c.Domains != nil {
		c.domains = c.Domains(regions)
	}
	if len(c.domains) == 0 {
		c.refuse(http.StatusServiceUnavailable, regionRetryAfter, fmt.Sprintf("no known failure domain is in a region that route and workspace allow: %v", regions))
		return false
	}
	return true
}

func (c *call) readBody(r *http.Request) bool {
	maxBytes := c.catalog.Limits().MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = 4 << 20
	}
	if r.ContentLength > maxBytes {
		c.refuseBody(&http.MaxBytesError{Limit: maxBytes})
		return false
	}
	if !c.reserveStatedBody(r.Context(), r.ContentLength) {
		return false
	}
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		c.logger.Debug("could not set the read deadline", "err", err)
	}
	if r.ContentLength >= largeBodyBytes {
		c.enlargeBuffer(c.held.body, (*ingress.Conn).EnlargeReceiveBuffer)
	}
	began := c.Now()
	if r.ContentLength != 0 {
		c.beginArrival(began, controller)
	}
	body, err := c.readAllOfBody(r.Context(), http.MaxBytesReader(c.w, r.Body, maxBytes), r.ContentLength, maxBytes)
	c.endArrival()
	if err != nil {
		c.refuseBody(err)
		return false
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		c.logger.Debug("could not set the read deadline", "err", err)
	}
	c.request.Body, c.bodyTime = body, c.Now().Sub(began)
	return true
}

// refuseBody answers a request whose body could not be read. It closes the
// connection, since the rest of the body cannot be told from the next request.
func (c *call) refuseBody(err error) {
	c.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var connFailed *net.OpError
	var doesNotFit bodyDoesNotFitError
	switch {
	case errors.As(err, &doesNotFit):
		c.refuseForMemory(doesNotFit.pieceBytes)
	case c.held.displaced.Load():
		c.refuseForMemory(0)
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, 0, "request body too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, slowBodyRetryAfter, "request body timed out")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &connFailed):
		c.finishDisconnected("left while sending", "err", err)
		panic(http.ErrAbortHandler)
	default:
		c.refuse(http.StatusBadRequest, 0, "malformed request body: "+err.Error())
	}
}
