package presenter

import (
	"bytes"
	"context"
	_ "embed" // embeds the page template
	"fmt"
	"html/template"
	"net/http"
	"time"

	"geraniumline/operatorserver"
)

// refreshSeconds is the interval at which a browser reloads the page.
const refreshSeconds = 5

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"grade":   grade,
	"decimal": decimal,
	"silence": formatSilence,
}).Parse(pageText))

// Page returns the status page, a single HTML file that loads no other resources and runs no scripts.
func Page(status operatorserver.Status, now time.Time) ([]byte, error) {
	var page bytes.Buffer
	err := pageTemplate.Execute(&page, struct {
		summary
		At      string
		Refresh int
	}{summarise(status), now.UTC().Format(time.RFC3339), refreshSeconds})
	if err != nil {
		return nil, fmt.Errorf("render the status page: %w", err)
	}
	return page.Bytes(), nil
}

// Handler returns a handler that serves the status page. The caller must have checked the operator's credential.
//
// Names on the page come from configuration and from peers. The template escapes them. In case a name is not
// escaped, the Content-Security-Policy header prevents loading resources and running scripts.
func Handler(status func(context.Context) (operatorserver.Status, error), now func() time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current, err := status(r.Context())
		if err != nil {
			http.Error(w, "the status is not at hand", http.StatusServiceUnavailable)
			return
		}
		page, err := Page(current, now())
		if err != nil {
			http.Error(w, "the page can't be made", http.StatusInternalServerError)
			return
		}
		header := w.Header()
		header.Set("Content-Type", "text/html; charset=utf-8")
		header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'")
		header.Set("X-Content-Type-Options", "nosniff")
		header.Set("Cache-Control", "no-store")
		_, _ = w.Write(page) // an error means that the client has disconnected
	})
}

// percent formats a fraction as a percentage.
func percent(fraction float64) string {
	return fmt.Sprintf("%.1f%%", 100*fraction)
}

// grade returns the CSS class for the colour of an attainment.
func grade(attainment float64) string {
	switch {
	case attainment >= goodAttainment:
		return "good"
	case attainment >= fairAttainment:
		return "fair"
	}
	return "bad"
}

// decimal formats a number without decimals from 100 on, with one decimal below.
func decimal(value float64) string {
	if value >= 100 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.1f", value)
}

// formatSilence formats the time since an entry was last heard from, given in milliseconds.
func formatSilence(millis int64) string {
	if millis < 1000 {
		return fmt.Sprintf("%d ms", millis)
	}
	return fmt.Sprintf("%.1f s", float64(millis)/1000)
}
