// Asks as public clients ask, and says what each got.
import { createHash } from 'node:crypto';
import { ApolloClient, gql, HttpLink, InMemoryCache } from '@apollo/client/core/index.js';
import { BatchHttpLink } from '@apollo/client/link/batch-http/index.js';
import { PersistedQueryLink } from '@apollo/client/link/persisted-queries/index.js';
import { cacheExchange, Client, fetchExchange } from '@urql/core';
import { buildClientSchema, getIntrospectionQuery } from 'graphql';
import { batchRequests, GraphQLClient, request } from 'graphql-request';

const url = process.argv[2];
if (!url) throw new Error('say which URL');
let failed = 0;

async function check(name, got, fits) {
  try {
    const value = await got();
    const good = fits(value);
    failed += !good;
    console.log(good ? 'ok' : 'FAIL', name, good ? '' : JSON.stringify(value));
  } catch (e) {
    failed += 1;
    console.log('FAIL', name, String(e).slice(0, 400));
  }
}

const apollo = (link) => new ApolloClient({ link, cache: new InMemoryCache() });
const evaluate = 'query Q($f: String) { evaluate(flag: $f) { flag on } }';
const on = (data) => data?.evaluate?.on === true;
// An effect has an id of its own in each run.
const id = (n) => `${process.pid}-${Date.now()}-${n}`;

await check('graphql-request: query', () => request(url, evaluate, { f: 'x' }), on);
await check('graphql-request: mutation', () => request(url, 'mutation M($id: ID!) { toggle(id: $id) { done } }', { id: id(1) }),
  (d) => d.toggle.done);
await check('graphql-request: GET', () => new GraphQLClient(url, { method: 'GET', jsonSerializer: JSON }).request('{ flags }'),
  (d) => d.flags.length === 2);
await check('graphql-request: batch of a query and a mutation',
  () => batchRequests(url, [{ document: '{ flags }' }, { document: `mutation { toggle(id: "${id(2)}") { done } }` }]),
  (d) => d[0].data.flags.length === 2 && d[1].data.toggle.done);
await check('graphql-request: errors are told', () => request(url, '{ none }').catch((e) => e.response.errors),
  (errors) => errors.length === 1 && typeof errors[0].message === 'string');
await check('graphql-js: the schema as it is asked for', async () => buildClientSchema(await request(url, getIntrospectionQuery())),
  (schema) => schema.getQueryType().name === 'Query' && schema.getMutationType().name === 'Mutation');
await check('Apollo Client: query', () => apollo(new HttpLink({ uri: url })).query({ query: gql(evaluate), variables: { f: 'y' } }),
  (r) => on(r.data));
await check('Apollo Client: mutation',
  () => apollo(new HttpLink({ uri: url })).mutate({ mutation: gql('mutation M($id: ID!) { toggle(id: $id) { done } }'), variables: { id: id(3) } }),
  (r) => r.data.toggle.done);
await check('Apollo Client: GET', () => apollo(new HttpLink({ uri: url, useGETForQueries: true })).query({ query: gql('{ flags }') }),
  (r) => r.data.flags.length === 2);
await check('Apollo Client: batch of queries and a mutation', () => {
  const client = apollo(new BatchHttpLink({ uri: url, batchMax: 5, batchInterval: 20 }));
  return Promise.all([
    client.query({ query: gql('query A { flags }') }),
    client.query({ query: gql('query B { evaluate(flag: "b") { on } }') }),
    client.mutate({ mutation: gql(`mutation C { rollout(id: "${id(4)}") { done } }`) }),
  ]);
}, (r) => r[0].data.flags.length === 2 && on(r[1].data) && r[2].data.rollout.done);
for (const useGETForHashedQueries of [false, true]) {
  await check(`Apollo Client: persisted query, ${useGETForHashedQueries ? 'GET' : 'POST'}`, async () => {
    const sha256 = (text) => createHash('sha256').update(text).digest('hex');
    // A document of its own, so that the first of each is not known; the second is.
    const query = gql(`query P${useGETForHashedQueries ? 'G' : 'P'}${Date.now()} { evaluate(flag: "p") { on } }`);
    const ask = () => apollo(new PersistedQueryLink({ sha256, useGETForHashedQueries }).concat(new HttpLink({ uri: url }))).query({ query });
    return [await ask(), await ask()];
  }, (r) => r.every((r) => on(r.data)));
}
const urql = new Client({ url, exchanges: [cacheExchange, fetchExchange], preferGetMethod: false });
await check('urql: query', () => urql.query(evaluate, { f: 'u' }).toPromise(), (r) => !r.error && on(r.data));
await check('urql: mutation', () => urql.mutation('mutation M($id: ID!) { toggle(id: $id) { done } }', { id: id(5) }).toPromise(),
  (r) => !r.error && r.data.toggle.done);
process.exit(failed ? 1 : 0);
