package publisher

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const (
	validPool     = `{"kind":"engine","honoursFence":true,"slotsPerEndpoint":8}`
	validPipeline = `{"stages":[
		{"name":"encode","pool":"encoders","repeatable":true,"expectedMillis":20},
		{"name":"retrieve","pool":"retrievers","repeatable":true,"expectedMillis":30},
		{"name":"generate","pool":"engines","model":"summary-7b","maxTokens":400,"repeatable":false,"expectedMillis":900}]}`
	validContract = `{"credentialSha256":"` + credential + `","weight":2,"ratePerSecond":50,"burst":100,"concurrency":40,
		"costPerSecond":9000,"urgency":"urgent","pipelines":["digest"],"pipelineUrgency":{"digest":"relaxed"}}`
	validPlacement = `{"pool":"engines","models":[
		{"model":"summary-7b","version":"3","adapters":["nepali"],"role":"both","minCopies":2,"weight":4},
		{"model":"chat-1b","version":"1","adapters":[],"role":"decode","minCopies":1,"weight":1}]}`
	credential = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)

// An operator's file with several faults is rejected as a whole, with all of them reported, before it is
// appended. The golden file contains the reported faults.
func TestCheckReportsEveryFault(t *testing.T) {
	scenarios := []struct{ testName, kind, name, body string }{
		{"good pool", KindPool, "engines", validPool},
		{"good pipeline", KindPipeline, "digest", validPipeline},
		{"good contract", KindContract, "kilima", validContract},
		{"unknown kind", "quota", "kilima", `{}`},
		{"bad name", KindPool, "two words", validPool},
		{"another name inside", KindContract, "kilima", `{"account":"wallcare",` + validContract[1:]},
		{"not JSON", KindPool, "engines", `{"kind":`},
		{"not an object", KindPool, "engines", `["engine"]`},
		{"null", KindPool, "engines", `null`},
		{"empty pool", KindPool, "engines", `{}`},
		{"pool of wrong types", KindPool, "engines", `{"kind":7,"honoursFence":"yes","slotsPerEndpoint":1.5}`},
		{"misspelt fields", KindPool, "engines", `{"kind":"engine","slotsPerEndpoint":8,"honorsFence":true,"Slots":1}`},
		{"too few stages", KindPipeline, "digest", `{"stages":[{"name":"encode"}]}`},
		{"stages with many faults", KindPipeline, "digest", `{"stages":[
			{"name":"encode","pool":"encoders","repeatable":true,"expectedMillis":0},
			{"name":"encode","pool":"","expectedMillis":30,"maxTokens":-1},
			"generate",
			{"pool":"engines","repeatable":null,"expectedMillis":900,"timeout":3}]}`},
		{"contract with many faults", KindContract, "kilima", `{"credentialSha256":"secret","weight":0,
			"ratePerSecond":-1,"burst":0.5,"concurrency":0,"costPerSecond":1e12,"urgency":"asap",
			"pipelines":["digest","digest"],"pipelineUrgency":{"alerts":"urgent","digest":"soon"}}`},
		{"contract without pipelines", KindContract, "kilima", strings.Replace(validContract, `["digest"],"pipelineUrgency":{"digest":"relaxed"}`, `[]`, 1)},
		{"good placement", KindPlacement, "engines", validPlacement},
		{"placement with many faults", KindPlacement, "engines", `{"models":[
			{"model":"a","version":"1","role":"both","minCopies":-1,"weight":0,"adapters":["x","x"]},
			{"model":"a","role":"writer","minCopies":1,"weight":1,"copies":2}]}`},
		{"placement without models", KindPlacement, "engines", `{"pool":"engines","models":[]}`},
		{"oversize", KindPool, "engines", `{"kind":"` + strings.Repeat("x", maxBodyBytes) + `"}`},
	}
	var out strings.Builder
	for _, s := range scenarios {
		fmt.Fprintf(&out, "%s\n", s.testName)
		for _, fault := range Check(s.kind, s.name, []byte(s.body)) {
			fmt.Fprintf(&out, "  %s\n", fault)
		}
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}

func TestHasSideEffect(t *testing.T) {
	p, faults := parse(KindPipeline, "digest", []byte(validPipeline))
	require.Empty(t, faults)
	require.True(t, p.pipeline.HasSideEffect())
	p, faults = parse(KindPipeline, "digest", []byte(strings.Replace(validPipeline, "false", "true", 1)))
	require.Empty(t, faults)
	require.False(t, p.pipeline.HasSideEffect())
}
