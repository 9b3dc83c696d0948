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

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonridge/persimmonridge/internal/state/wait"
)

// admit decides by the configuration alone.
func (u *run) admit() bool {
	u.catalog = u.Catalog()
	if u.catalog == nil {
		u.refuse(http.StatusServiceUnavailable, unconfiguredRetry, "no configuration yet")
		return false
	}
	u.route = u.catalog.Route(u.request.Host, u.request.Path)
	if u.route == nil {
		u.refuse(http.StatusNotFound, 0, "no route")
		return false
	}
	u.work = u.catalog.Workspace(u.request.Key)
	u.tier = u.catalog.Tier(u.route, u.work)
	if u.work == nil && !u.route.Public && u.catalog.HasWorkspaces() {
		u.refuse(http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	return true
}

func (u *run) readBody(r *http.Request) bool {
	most := u.catalog.Limits().BodyBytes
	if most <= 0 {
		most = 4 << 20
	}
	if r.ContentLength > most {
		u.refuseBody(&http.MaxBytesError{Limit: most})
		return false
	}
	controller := http.NewResponseController(u.w)
	if err := controller.SetReadDeadline(u.until); err != nil {
		u.logger.Debug("no read deadline", "err", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(u.w, r.Body, most))
	if err != nil {
		u.refuseBody(err)
		return false
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		u.logger.Debug("no read deadline", "err", err)
	}
	u.request.Body = body
	return true
}

// refuseBody answers a request whose body could not be read. Nothing that follows on
// its connection can be told from the rest of the body.
func (u *run) refuseBody(err error) {
	u.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var broken *net.OpError
	switch {
	case errors.As(err, &tooLarge):
		u.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.refuse(http.StatusRequestTimeout, slowBodyRetry, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.As(err, &broken):
		u.finishLeft("left while sending", "err", err)
		panic(http.ErrAbortHandler)
	default:
		u.refuse(http.StatusBadRequest, 0, "malformed body: "+err.Error())
	}
}

// fingerprintOf recognizes a request that is sent again by the same caller.
func (u *run) fingerprintOf() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range []string{u.request.Method, "\n", u.request.Host, "\n", u.request.Target, "\n", u.request.Key, "\n"} {
		_, _ = hash.WriteString(part) // a digest's Write never fails
	}
	_, _ = hash.Write(u.request.Body)
	return hash.Sum64()
}

func (u *run) takeQuota(ctx context.Context) bool {
	if u.work == nil || u.work.PerSecond <= 0 {
		return true
	}
	cost := 1.0
	if u.work.ByTokens {
		cost = u.work.PlainTokens
		if u.request.Counted {
			cost = float64(u.request.PromptTokens + u.request.OutputTokens)
		}
	}
	ok, retryAfter := u.Quota.Take(u.Now(), u.work, cost)
	for !ok && u.Quota.Settles(u.Now()) {
		wait.For(ctx, settleEvery)
		if ctx.Err() != nil {
			u.expire(ctx)
			return false
		}
		ok, retryAfter = u.Quota.Take(u.Now(), u.work, cost)
	}
	if !ok {
		u.refuse(http.StatusTooManyRequests, retryAfter, fmt.Sprintf("over the quota of %s: %.0f a second, burst %.0f, this request costs %.0f",
			u.work.Name, u.work.PerSecond, u.work.Burst, cost))
		return false
	}
	u.cost = cost
	return true
}
