#include "Serve/http_server.h"
#include "Support/free_port.h"

#include <cstdlib>
#include <curl/curl.h>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

using namespace sagesaddle;

namespace {

constexpr long validSeconds = 3600;

using key_holder = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_holder = std::unique_ptr<X509, decltype(&X509_free)>;
using file_holder = std::unique_ptr<FILE, decltype(&fclose)>;

// Writes a PEM file with a self-signed certificate for 127.0.0.1 and its key.
std::filesystem::path writeCertificate()
{
    const key_holder key(EVP_RSA_gen(2048), &EVP_PKEY_free);
    const certificate_holder certificate(X509_new(), &X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validSeconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    auto path = std::filesystem::temp_directory_path()
        / ("sagesaddle-tls-" + std::to_string(testing::freeAddress().port) + ".pem");
    const file_holder file(fopen(path.c_str(), "w"), &fclose);
    PEM_write_PrivateKey(file.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    PEM_write_X509(file.get(), certificate.get());
    return path;
}

std::size_t append(char* data, std::size_t, std::size_t size, void* user)
{
    static_cast<std::string*>(user)->append(data, size);
    return size;
}

std::string get(const std::string& url, const std::string& trusted)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), &curl_easy_cleanup);
    std::string body;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CAINFO, trusted.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT, 20L);
    return curl_easy_perform(easy.get()) == CURLE_OK ? body : "no answer";
}

} // namespace

TEST_CASE("tls: callers are served with the configured certificate, and not without TLS")
{
    const auto certificate = writeCertificate();
    const address listen = testing::freeAddress();
    {
        http_server server({ .listen = listen, .workers = 4, .certificateFile = certificate.string() },
            [](http_call& call) { call.respond(200, {}, "over tls"); });
        CHECK(get("https://" + formatAddress(listen) + "/", certificate.string()) == "over tls");
        CHECK(get("http://" + formatAddress(listen) + "/", certificate.string()) != "over tls");
    }
    std::filesystem::remove(certificate);
}

TEST_CASE("tls: the server does not start without its certificate file, and the error names the file")
{
    try {
        const http_server server(
            { .listen = testing::freeAddress(), .workers = 4, .certificateFile = "/nowhere/c.pem" },
            [](http_call&) {});
        FAIL("the server started without its certificate file");
    } catch (const std::runtime_error& error) {
        CHECK(std::string(error.what()).find("/nowhere/c.pem") != std::string::npos);
    }
}
