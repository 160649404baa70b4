#include "connection/http/relay_fixture.hpp"

#include <Poco/Net/Context.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <memory>

using namespace hickorygap;
using namespace hickorygap::testing;

namespace
{

template <typename Write>
std::string write_pem(Write&& write)
{
    const std::string path = Poco::TemporaryFile::tempName();
    Poco::TemporaryFile::registerForDeletion(path);
    std::FILE* file = std::fopen(path.c_str(), "w");
    write(file);
    std::fclose(file);
    return path;
}

// Generates a self-signed certificate for each run.
http_server_options make_tls_options()
{
    constexpr long valid_seconds = 3600;
    constexpr int key_bits = 2048;
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{
        EVP_RSA_gen(key_bits), &EVP_PKEY_free};
    const std::unique_ptr<X509, decltype(&X509_free)> certificate{
        X509_new(), &X509_free};
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), valid_seconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    http_server_options options;
    options.threads = 1;
    options.tls_certificate_file = write_pem(
        [&](std::FILE* file) { PEM_write_X509(file, certificate.get()); });
    options.tls_key_file = write_pem(
        [&](std::FILE* file)
        {
            PEM_write_PrivateKey(
                file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    return options;
}

Poco::Net::StreamSocket connect_tls(std::uint16_t port)
{
    Poco::Net::Context::Params params;
    params.verificationMode = Poco::Net::Context::VERIFY_NONE;
    const Poco::Net::Context::Ptr context{
        new Poco::Net::Context{Poco::Net::Context::TLS_CLIENT_USE, params}};
    return Poco::Net::SecureStreamSocket{
        Poco::Net::SocketAddress{"127.0.0.1", port}, context};
}

} // namespace

// Guards against pipelined requests that are lost because the TLS layer has
// already decrypted and buffered them, and against an unfinished handshake that
// occupies the only worker thread.
TEST_CASE("requests are served over TLS")
{
    relay_fixture fixture{{}, {}, make_tls_options()};
    fixture.add_engine("eng-1");
    fixture.start();
    raw_client stalled_handshake{fixture.server.port()};
    stalled_handshake.send("\x16\x03\x01");
    raw_client client{connect_tls(fixture.server.port())};

    client.send(
        make_request("GET", "/healthz", "", "") +
        chat_request_text(streamed_body) +
        make_request("GET", "/readyz", "", ""));

    CHECK(client.read_response().body == "ok\n");
    const raw_response streamed = client.read_response();
    CHECK(streamed.complete);
    CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    CHECK(client.read_response().body == "ready\n");
    client.send(make_request("GET", "/healthz", "", ""));
    CHECK(client.read_response().body == "ok\n");
}

// Guards against a server that starts without its certificate.
TEST_CASE("missing TLS files are reported")
{
    http_server_options options;
    options.tls_certificate_file = "/nonexistent/certificate.pem";
    options.tls_key_file = "/nonexistent/key.pem";
    relay_fixture fixture{{}, {}, options};
    CHECK_THROWS(fixture.start());
}
