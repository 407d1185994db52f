package faker

import (
	"net/url"
	"time"
)

func checkDuration(field string, d time.Duration) error {
	return checkNotNegative(field, int64(d))
}

// Check returns a ConfigError for the first field that is out of range, or nil.
func (cfg EndpointConfig) Check() error {
	return firstError(
		checkNotNegative("slots", cfg.Slots),
		checkNotNegative("maxWaiting", cfg.MaxWaiting),
		checkDuration("loadLag", cfg.LoadLag),
		cfg.Faults.check(),
	)
}

// Check returns a ConfigError for the first field that is out of range, or nil.
func (cfg EngineConfig) Check() error {
	return firstError(
		cfg.EndpointConfig.Check(),
		checkDuration("tokenTime", cfg.TokenTime),
		checkNotNegative("tokenTimeGrowth", cfg.TokenTimeGrowth),
		checkDuration("prefillTime", cfg.PrefillTime),
		checkTokens(cfg.Tokens),
		checkNotNegative("cacheBlocks", cfg.CacheBlocks),
		checkDuration("cacheEventDelay", cfg.CacheEventDelay),
		checkDuration("loadTime", cfg.LoadTime),
		checkURL("weights", cfg.WeightsURL),
	)
}

func checkTokens(n int) error {
	if n < 0 || n > maxTokensOfCall {
		return &ConfigError{Field: "tokens", Value: n, Want: "0 to 4096"}
	}
	return nil
}

func checkURL(field, text string) error {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return &ConfigError{Field: field, Value: text, Want: "http://host:port"}
	}
	return nil
}

// Check returns a ConfigError for the first field that is out of range, or nil.
func (cfg ServiceConfig) Check() error {
	return firstError(
		cfg.EndpointConfig.Check(),
		checkDuration("serviceTime", cfg.ServiceTime),
		checkRate("variation", cfg.Variation),
		checkNotNegative("keepPrefix", cfg.KeepPrefix),
	)
}

// Check returns a ConfigError for the first field that is out of range, or nil.
func (cfg LogConfig) Check() error {
	return firstError(
		checkNotNegative("appendsPerSecond", cfg.AppendsPerSecond),
		checkNotNegative("appendBurst", cfg.AppendBurst),
		checkNotNegative("keepRecords", cfg.KeepRecords),
		checkDuration("keepFor", cfg.KeepFor),
		checkNotNegative("keepBytes", cfg.KeepBytes),
		checkRate("holeRate", cfg.HoleRate),
		cfg.Faults.check(),
	)
}

// Check returns a ConfigError for the first field that is out of range, or nil.
func (cfg VMsConfig) Check() error {
	return firstError(checkDuration("lag", cfg.Lag), CheckVMs(cfg.VMs), cfg.Faults.check())
}

// Check returns a ConfigError for the first field that is out of range, or nil.
func (cfg WeightsConfig) Check() error {
	return firstError(
		checkNotNegative("loadsPerSecond", cfg.LoadsPerSecond),
		checkNotNegative("burst", cfg.Burst),
		checkDuration("transferTime", cfg.TransferTime),
		checkNotNegative("bytes", cfg.Bytes),
		cfg.Faults.check(),
	)
}
