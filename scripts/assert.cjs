/*
The assertions of Node.js, for the libraries in a bundle, with a message of their own.

For an assertion without a message Node.js words one: it reads the source file from where the
assertion stands and parses it. In a bundle that is a line of some hundred kilobytes, and the event
loop does nothing else for seconds. What a peer sends may make a library's assertion fail.
*/
'use strict';
const process = require('node:process');

const nodeAssert = process.getBuiltinModule('node:assert');
const defaultMessage = 'assertion failed';

const assert = (value, message = defaultMessage) => {
	if (!value) {
		nodeAssert(value, message);
	}
};

module.exports = Object.assign(assert, nodeAssert, {ok: assert});
