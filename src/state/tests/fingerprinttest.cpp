#include "state/fingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const AccountName NO_ACCOUNT;

HttpRequest makeRequest()
{
    return HttpRequest{ "POST", "/pages/1?lang=it", { { "Host", "shop.example" } }, "body" };
}

} // namespace

TEST_GROUP(Fingerprint){};

// Guards against fingerprints that differ between attempts because request id or deadline differ.
TEST(Fingerprint, IgnoresHeadersAndHostCase)
{
    HttpRequest other = makeRequest();
    other.headers.push_back({ "Request-Id", "7" });
    other.headers.insert(other.headers.begin(), { "Deadline", "250" });
    other.headers.at(1).value = "SHOP.example:8080";
    CHECK(fingerprintOf(NO_ACCOUNT, makeRequest()) == fingerprintOf(NO_ACCOUNT, other));
}

TEST(Fingerprint, DependsOnMethodTargetBodyAndHost)
{
    const Fingerprint first = fingerprintOf(NO_ACCOUNT, makeRequest());
    const auto isOther = [&](void (*change)(HttpRequest &)) {
        HttpRequest request = makeRequest();
        change(request);
        return fingerprintOf(NO_ACCOUNT, request) != first;
    };
    CHECK(isOther([](HttpRequest &request) { request.method = "PUT"; }));
    CHECK(isOther([](HttpRequest &request) { request.target = "/pages/1"; }));
    CHECK(isOther([](HttpRequest &request) { request.body += " "; }));
    CHECK(isOther([](HttpRequest &request) { request.headers.front().value = "other"; }));
}

// Guards against the quarantine of one account's request applying to another account.
TEST(Fingerprint, DependsOnTheAccount)
{
    CHECK(fingerprintOf(AccountName("kitchen"), makeRequest())
          != fingerprintOf(NO_ACCOUNT, makeRequest()));
}

// Guards against equal fingerprints of requests that only differ in where one field ends.
TEST(Fingerprint, FieldBoundariesAreHashed)
{
    const HttpRequest a{ "GET", "/ab", {}, "c" };
    const HttpRequest b{ "GET", "/a", {}, "bc" };
    CHECK(fingerprintOf(NO_ACCOUNT, a) != fingerprintOf(NO_ACCOUNT, b));
}
