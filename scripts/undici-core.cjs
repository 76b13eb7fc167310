/*
The parts of undici that the entry gateway uses. The package's index also loads its fetch,
WebSocket, cache and mock implementations, which cost each start processor time and memory.
*/
'use strict';
const Agent = require('undici/lib/dispatcher/agent.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const api = require('undici/lib/api/index.js');
const buildConnector = require('undici/lib/core/connect.js');

// The index does the same: it gives dispatchers their `request` method.
Object.assign(Dispatcher.prototype, api);

module.exports = {
	Agent, Client, Dispatcher, buildConnector,
};
