#!/usr/bin/env node
/**
Entry of the gateway process on the users' platform.
*/
import {runEntry} from '../../platform/run-entry.js';

await runEntry();
