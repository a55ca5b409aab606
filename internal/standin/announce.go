package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/julienschmidt/httprouter"

	"curranthold.example/curranthold/internal/event"
)

const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
	announcePath     = "/v1/announce"
)

// Announcement is the message that a backend server sends to its node each
// second.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Cold        bool   `json:"cold"`
	Version     string `json:"version,omitempty"`
	Incarnation string `json:"incarnation"`
}

// Health is the response body of GET /health. Cold is the cold start state that
// announcements report. It is updated with each announcement, so it can be out of
// date by up to the announcement interval.
type Health struct {
	Healthy bool `json:"healthy"`
	Cold    bool `json:"cold"`
}

func newRandomID() string { return rand.Text() }

// announce announces the backend server to its node each second until ctx ends,
// and then withdraws the announcement.
func (b *Backend) announce(ctx context.Context) {
	if b.config.Node == "" {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	failing := false
	for ctx.Err() == nil {
		err := b.sendAnnouncement(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			eventAnnounceFailed.Log(event.Fields{"node": b.config.Node, "error": err.Error()})
		}
		failing = err != nil
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	b.withdraw(context.WithoutCancel(ctx))
}

// sendAnnouncement sends one announcement, unless the backend server is down
// after a crash.
func (b *Backend) sendAnnouncement(ctx context.Context) error {
	if b.downtimeLeft() > 0 {
		return nil
	}
	body, err := json.Marshal(Announcement{
		Service:     b.config.Service,
		Address:     b.config.Address,
		Slots:       b.config.Slots,
		Connections: b.config.Connections,
		Cold:        b.updateReportedCold(),
		Version:     b.config.Version,
		Incarnation: b.incarnation,
	})
	if err != nil {
		return err
	}
	return b.sendToNode(ctx, http.MethodPost, announcePath, body)
}

// updateReportedCold updates and returns the cold start state that announcements
// report. Only the initial cold start is reported, until it ends or the
// FalselyHealthy fault is set. Later cold starts, which the Cold fault or a crash
// causes, are not reported.
func (b *Backend) updateReportedCold() bool {
	cold := b.limiter.isCold(time.Now()) && !b.faults.get().FalselyHealthy
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportedCold = b.reportedCold && cold
	return b.reportedCold
}

// withdraw deletes the announcement at the node.
func (b *Backend) withdraw(ctx context.Context) {
	path := announcePath + "?service=" + url.QueryEscape(b.config.Service)
	if err := b.sendToNode(ctx, http.MethodDelete, path, nil); err != nil {
		eventAnnounceFailed.Log(event.Fields{"node": b.config.Node, "error": err.Error()})
	}
}

func (b *Backend) sendToNode(ctx context.Context, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.config.Node+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	got, err := fetch(b.client, req)
	if err != nil {
		return err
	}
	if got.status >= http.StatusMultipleChoices {
		return fmt.Errorf("announce: status %d", got.status)
	}
	return nil
}

// health serves GET /health, with the cold start state that announcements report.
func (b *Backend) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if b.faults.get().FalselyHealthy {
		writeJSON(w, http.StatusOK, Health{Healthy: true})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, http.StatusOK, Health{Healthy: time.Now().After(b.downUntil), Cold: b.reportedCold})
}
