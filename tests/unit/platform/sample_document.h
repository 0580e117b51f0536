#ifndef TESTS_UNIT_PLATFORM_SAMPLE_DOCUMENT_H_
#define TESTS_UNIT_PLATFORM_SAMPLE_DOCUMENT_H_

namespace camphorsail::platform {

/// A routing document that uses every field.
inline constexpr char kSampleDocument[] = R"({"version":7,"routes":[
{"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2000,
 "priority":2,"trafficSplit":[{"service":"m","weight":90},{"service":"s","weight":10}],"maxAttempts":2,
 "public":false,"sticky":true,"resumable":true,"gapAimMs":800},
{"name":"r2","host":"h.example","pathPrefix":"/b/","kind":"unsafe","timeoutMs":600,"service":"s"}],
"services":[{"name":"m","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacityTokens":628662,
"stride":5}},{"name":"s","healthPath":"/health","maxConnections":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}]})";

}  // namespace camphorsail::platform

#endif  // TESTS_UNIT_PLATFORM_SAMPLE_DOCUMENT_H_
