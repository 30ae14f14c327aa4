#include "line_codec.h"
#include "store_client.h"
#include "support_odd_texts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>

using namespace plantainwall;
using namespace plantainwall::platform;
using web::json::value;

namespace {

struct Customer {
    std::string name;
    std::vector<std::string> keys;
};

/// Names of a configuration document, beside a service "orders", its database "a" and a customer "hatter" with the key
/// "k".
struct Document {
    std::vector<Customer> customers;
    std::vector<std::string> services;
    std::vector<std::pair<std::string, std::string>> routes; ///< Databases and their services.
};

value customerOf(const Customer& customer)
{
    value entry = value::object();
    entry["name"] = value::string(customer.name);
    entry["rate_per_s"] = value::number(10);
    entry["burst"] = value::number(5);
    entry["api_keys"] = value::array();
    for (size_t i = 0; i < customer.keys.size(); ++i)
        entry["api_keys"][i] = value::string(customer.keys[i]);
    return entry;
}

value routeOf(const std::string& database, const std::string& service)
{
    value entry = value::object();
    entry["host"] = value::string(database);
    entry["name"] = value::string("a");
    entry["service"] = value::string(service);
    entry["kind"] = value::string("primary");
    return entry;
}

value serviceOf(const std::string& name)
{
    value entry = value::object();
    entry["name"] = value::string(name);
    return entry;
}

/// Decodes a configuration that names the given entries before the plain ones.
std::shared_ptr<const GatewayConfiguration> decode(const Document& names)
{
    std::vector<value> customers;
    std::vector<value> services;
    std::vector<value> routes;
    for (const Customer& it : names.customers)
        customers.push_back(customerOf(it));
    for (const std::string& it : names.services)
        services.push_back(serviceOf(it));
    for (const auto& [database, service] : names.routes)
        routes.push_back(routeOf(database, service));
    customers.push_back(customerOf({ "hatter", { "k" } }));
    services.push_back(serviceOf("orders"));
    routes.push_back(routeOf("a", "orders"));
    value document = value::object();
    document["version"] = value::number(7);
    document["tenants"] = value::array(customers);
    document["services"] = value::array(services);
    document["routes"] = value::array(routes);
    return DocumentDecoder().configuration({ "op/config", document.serialize(), 5, false });
}

void testPlainEntries(const GatewayConfiguration& configuration)
{
    BOOST_TEST(configuration.version == 7U);
    BOOST_TEST(configuration.customers.count("hatter") == 1U);
    BOOST_TEST(configuration.services.count("orders") == 1U);
    BOOST_REQUIRE(configuration.routes.count("a") == 1U);
    BOOST_TEST(configuration.routes.at("a").service == "orders");
    BOOST_REQUIRE(configuration.customerByKey.count("k") == 1U);
    BOOST_TEST(configuration.customerByKey.at("k") == "hatter");
}

ServerEntry serverOf(const std::string& id, const std::string& service)
{
    value document = value::parse(
        R"({"address":"127.0.0.1:1","zone":"z","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,)"
        R"("db_role":"replica","seq_no":41})");
    document["service"] = value::string(service);
    return DocumentDecoder().server({ "servers/" + id, document.serialize(), 5, false });
}

const char* const noFields[] = { "", " ", "a b", " a", "a ", "a\r\n", "\r\n", "a\r\nTERMINATE" };

} // namespace

// Hosts ask servers for their state in the name of the first customer.
BOOST_AUTO_TEST_CASE(customers_that_no_server_can_be_told_are_left_out)
{
    std::vector<Customer> odd { { "-", { "odd-key" } } };
    for (const char* const name : noFields)
        odd.push_back({ name, { "odd-key" } });
    for (const Customer& customer : odd) {
        const auto configuration = decode({ { customer }, {}, {} });
        testPlainEntries(*configuration);
        BOOST_TEST(configuration->customers.size() == 1U, test::printable(customer.name));
        BOOST_TEST(configuration->customerByKey.count("odd-key") == 0U, test::printable(customer.name));
    }
}

BOOST_AUTO_TEST_CASE(odd_names_that_a_line_can_carry_are_kept)
{
    for (const std::string name : { "a\nb", "a\rb", "\t", "--", "\xc3\xbc", "\"", "\xf0\x9f\x98\x80", "a\x01" }) {
        const auto configuration = decode({ { { name, { "odd-key" } } }, { name }, { { name, name } } });
        testPlainEntries(*configuration);
        BOOST_TEST(configuration->customerByKey.at("odd-key") == name);
        BOOST_TEST(configuration->customers.count(name) == 1U);
        BOOST_TEST(configuration->services.count(name) == 1U);
        BOOST_TEST(configuration->routes.at(name).service == name);
        BOOST_TEST(serverOf(name, name).id == name);
    }
    BOOST_TEST(serverOf("i 7", "orders").id == "i 7"); // The last field of a line.
}

BOOST_AUTO_TEST_CASE(services_that_no_line_can_name_are_left_out)
{
    for (const std::string name : noFields) {
        const auto configuration = decode({ {}, { name }, { { "b", name }, { name, "orders" } } });
        testPlainEntries(*configuration);
        BOOST_TEST(configuration->services.size() == 1U, test::printable(name));
        BOOST_TEST(configuration->routes.size() == 1U, test::printable(name));
        BOOST_CHECK_THROW(serverOf("i-1", name), std::exception);
    }
    BOOST_CHECK_THROW(serverOf("i\r\n1", "orders"), std::exception);
}

// A caller who gives no key is nobody, and one whose key two customers have is neither of them.
BOOST_AUTO_TEST_CASE(a_key_identifies_one_customer_or_none)
{
    const auto configuration
        = decode({ { { "empty", { "", "e" } }, { "other", { "k2", "shared" } }, { "another", { "shared", "k3" } },
                       { "third", { "shared" } }, { "same", { "s", "s" } }, { "same", { "s", "s2" } } },
            {}, {} });
    testPlainEntries(*configuration);
    BOOST_TEST(configuration->customerByKey.count("") == 0U);
    BOOST_TEST(configuration->customerByKey.count("shared") == 0U);
    const std::pair<const char*, const char*> owners[]
        = { { "e", "empty" }, { "k2", "other" }, { "k3", "another" }, { "s", "same" }, { "s2", "same" } };
    for (const auto& [key, owner] : owners) {
        BOOST_REQUIRE(configuration->customerByKey.count(key) == 1U);
        BOOST_TEST(configuration->customerByKey.at(key) == owner);
    }
    BOOST_TEST(configuration->customers.size() == 6U);
}

// Whatever names a document holds, those in force can be told to a server, and the plain ones are in force.
BOOST_AUTO_TEST_CASE(names_in_force_read_back)
{
    test::OddTexts texts(5);
    size_t kept = 0;
    const auto name = [&] {
        std::string text = texts.chance(500) ? texts.field() : texts.lastField();
        if (texts.chance(100))
            text += "\r\n" + texts.lastField();
        // A document cannot hold these bytes.
        text.erase(
            std::remove_if(text.begin(), text.end(), [](char c) { return c == '\xff' || c == '\xfe'; }), text.end());
        return text;
    };
    for (size_t i = 0; i < 1000; ++i) {
        const Customer customer { name(), { "odd-" + name() } };
        const std::string service = name();
        const std::string id = "i" + name();
        const auto configuration = decode({ { customer }, { service }, { { name(), service } } });
        testPlainEntries(*configuration);
        for (const auto& [key, route] : configuration->routes)
            BOOST_TEST(isField(key));
        for (const auto& [key, owner] : configuration->customerByKey)
            BOOST_TEST(configuration->customers.count(owner) == 1U);
        for (const auto& [known, it] : configuration->customers) {
            for (const auto& [serviceName, serviceEntry] : configuration->services)
                BOOST_TEST(encodeStartup(serviceName, known, id).has_value() == isLastField(id));
        }
        kept += configuration->customers.count(customer.name);
        const bool accepted = isField(service) && isLastField(id);
        if (accepted)
            BOOST_TEST(serverOf(id, service).id == id);
        else
            BOOST_CHECK_THROW(serverOf(id, service), std::exception);
    }
    BOOST_TEST(kept > 100U);
    BOOST_TEST(kept < 900U);
}
